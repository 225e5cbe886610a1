/** The supervised process of an entry that delivers clock ticks to the core. */
import { Channel, takeWithTimeout, type Child, type Scope, type ProcessBody } from '@gooseberryspan/csp'
import type { EntryNode } from './entryNode.js'

/** A tick may be delivered this much later than it is due, which avoids rescheduling for small differences. */
const TICK_TOLERANCE_MS = 1

/** Sends the core a tick event whenever one is due. */
export class Ticker implements Child {
  readonly name = 'ticker'
  private readonly _node: EntryNode
  private readonly _wake = new Channel<true>(1, 'drop-newest')
  private _dueAt = 0
  private _ticking = false

  constructor (node: EntryNode) {
    this._node = node
  }

  /** Moves the next tick forward if the core needs it sooner than scheduled. */
  reschedule (): void {
    if (this._ticking) return
    const node = this._node
    const dueAt = node.now + node.core.pauseMs(node.now)
    if (dueAt >= this._dueAt - TICK_TOLERANCE_MS) return
    this._dueAt = dueAt
    this._wake.offer(true)
  }

  * run (scope: Scope): ProcessBody<void> {
    while (!scope.stopping.closed) {
      const { now, core } = this._node
      if (now >= this._dueAt) {
        this._ticking = true
        try {
          this._node.handle({ kind: 'tick' })
        } finally {
          this._ticking = false
        }
        this._dueAt = now + core.pauseMs(now)
      }
      yield * takeWithTimeout(this._wake, Math.max(0, this._dueAt - this._node.now), scope.stopping)
    }
  }
}
