/** A storm over real processes: callers go on while a script freezes and kills entries. */
import { SeededRandom } from '@gooseberryspan/core'
import { Caller, type CallResult } from '@gooseberryspan/standins'
import { pause } from '../load/openLoop.js'

/** What the storm's callers are given. */
export interface StormOptions {
  ports: number[]
  service: string
  seconds: number
  seed: number
}

/** What callers were told, by outcome. */
export interface StormResult {
  answered: number
  notRun: number
  unknown: number
  cut: number
  /** Names of requests that were told "not run". */
  notRunNames: string[]
}

const CALLERS = 8
const GAP_MS = 25

/** Sends reads and orders at a steady pace until the time is over. */
export async function callThroughStorm (options: StormOptions): Promise<StormResult> {
  const random = new SeededRandom(options.seed)
  const result: StormResult = { answered: 0, notRun: 0, unknown: 0, cut: 0, notRunNames: [] }
  const until = performance.now() + options.seconds * 1000
  const open = new Set<Promise<void>>()
  const known = () => options.ports.map((port) => ({ host: '127.0.0.1', port }))
  const callers = Array.from({ length: CALLERS }, () => new Caller({ zone: 'a', known, random }))
  let calls = 0
  while (performance.now() < until) {
    for (const caller of callers) {
      calls += 1
      const name = `call-${calls}`
      const order = random.next() < 0.5
      const call = caller.call({
        service: options.service, method: order ? 'POST' : 'GET', path: `/${options.service}`, name, body: order ? name : undefined
      }).then((told) => note(result, name, told))
      open.add(call)
      void call.finally(() => open.delete(call))
    }
    await pause(GAP_MS)
  }
  await Promise.all(open)
  for (const caller of callers) caller.close()
  return result
}

function note (result: StormResult, name: string, told: CallResult): void {
  switch (told.outcome) {
    case 'answered':
      result.answered += 1
      return
    case 'not-run':
      result.notRun += 1
      result.notRunNames.push(name)
      return
    case 'unknown':
      result.unknown += 1
      return
    case 'cut': result.cut += 1
  }
}
