/** Reads the platform's instance list at a steady pace, only what changed. */
import { every, settle, type Child, type Scope, type Steps } from '@gooseberryspan/csp'
import type { ListChange } from '@gooseberryspan/core'
import type { InstanceList } from '@gooseberryspan/platform'

/** Passes on each change of the list. */
export class ListWatcher implements Child {
  readonly name = 'instance-list'
  private _version = 0
  private readonly _list: InstanceList
  private readonly _periodMs: number
  private readonly _changed: (change: ListChange) => void

  constructor (list: InstanceList, periodMs: number, changed: (change: ListChange) => void) {
    this._list = list
    this._periodMs = periodMs
    this._changed = changed
  }

  * run (scope: Scope): Steps<void> {
    yield * every(this._periodMs, scope, () => this._read())
  }

  /** A list that cannot be read leaves the last one in use. */
  private * _read (): Steps<void> {
    const reading = yield * settle(this._list.read(this._version))
    if (!reading.ok || reading.value.version === this._version) return
    this._version = reading.value.version
    this._changed(reading.value.change)
  }
}
