/** Small processes of an entry: the clock's ticks and its ports. */
import { Channel, settle, sleepForever, takeWithin, type Child, type Scope, type Steps } from '@gooseberryspan/csp'
import type { Pace } from '@gooseberryspan/core'
import type { EntryNode } from './entryNode.js'
import type { HttpListener } from './httpListener.js'

/** Time between ticks, in milliseconds: short while something waits for a server. */
const TICK_MS: Record<Pace, number> = { waiting: 5, open: 20, idle: 100 }

/** Tells the core of the time, sooner while it has reason to care. */
export class Ticker implements Child {
  readonly name = 'ticker'
  private readonly _node: EntryNode
  private readonly _wake = new Channel<true>(1, 'drop-newest')
  private _pace: Pace = 'idle'

  constructor (node: EntryNode) {
    this._node = node
  }

  /** The core's pace may have risen. */
  hurry (): void {
    const { pace } = this._node.core
    if (TICK_MS[pace] >= TICK_MS[this._pace]) return
    this._pace = pace
    this._wake.offer(true)
  }

  * run (scope: Scope): Steps<void> {
    while (!scope.stopping.closed) {
      this._node.handle({ kind: 'tick' })
      this._pace = this._node.core.pace
      yield * takeWithin(this._wake, TICK_MS[this._pace], scope.stopping)
    }
  }
}

/** Listens on a port until it is asked to end. */
export function portKeeper (name: string, listener: HttpListener, listening: (port: number) => void = () => {}): Child {
  return {
    name,
    * run (scope: Scope): Steps<void> {
      const port = yield * settle(listener.listen())
      if (!port.ok) throw port.error
      listening(port.value)
      yield * sleepForever(scope)
      yield * settle(listener.close())
    }
  }
}
