/** The line from an entry to the schedulers of its services, without a network. */
import { expect } from 'chai'
import {
  newRequest, Outbox, SchedulerClient, SeededRandom, type SchedulerRequest, type Member, type RequestSpec, type SchedulerClientOptions
} from '@gooseberryspan/core'

const SCHEDULER = { instance: 'there' } as Member

describe('scheduler line', () => {
  let timedOut: number[]
  let schedulers: Member[]
  let line: SchedulerClient

  beforeEach(() => {
    timedOut = []
    schedulers = [SCHEDULER]
    line = new SchedulerClient({
      roster: { self: { instance: 'here' }, get: () => SCHEDULER },
      roles: { schedulersOf: () => schedulers },
      host: {},
      outbox: new Outbox(),
      random: new SeededRandom(1),
      heldServers: () => [],
      limitsOf: () => [],
      timedOut: (ask: SchedulerRequest) => void timedOut.push(ask.id)
    } as unknown as SchedulerClientOptions)
  })

  function place (id: number, now: number): void {
    const spec = { label: `r${id}`, service: 's', deadlineMs: 800, route: { name: 'check', targetMs: 200, timeoutMs: 800, priority: 1 } }
    const ask: SchedulerRequest = {
      id, purpose: 'first', cell: 's', scheduler: SCHEDULER.instance, sentAt: now, resendCount: 0, queued: false
    }
    line.place(newRequest(spec as RequestSpec, 's', now), ask, now)
  }

  it('should ask another one when a scheduler says nothing for 40 ms', () => {
    place(1, 0)
    line.tick(39)
    expect(timedOut).to.deep.equal([])
    line.tick(40)
    expect(timedOut).to.deep.equal([1])
    expect(line.choose('s', 41)).to.equal('here')
  })

  it('should give a scheduler time that answers others meanwhile: asking again would add to what it has to do', () => {
    place(1, 0)
    place(2, 1)
    expect(line.settled(SCHEDULER.instance, 2, 30)).to.equal(true)
    line.tick(60)
    expect(timedOut).to.deep.equal([])
    line.tick(150)
    expect(timedOut).to.deep.equal([1])
    expect(line.choose('s', 151)).to.equal('here')
  })

  it('should move to the schedulers some time after they have warmed up, when all entries have started together', () => {
    schedulers = []
    expect(line.choose('s', 0)).to.equal('here')
    schedulers = [SCHEDULER]
    expect(line.choose('s', 10)).to.equal('here')
    expect(line.choose('s', 1010)).to.equal('there')
  })

  it('should ask a warm scheduler at once, when only this entry has started', () => {
    expect(line.choose('s', 0)).to.equal('there')
  })
})
