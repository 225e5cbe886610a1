/** Writes the events of a process to a file for replay, one JSON object per line. */
import { createWriteStream, type WriteStream } from 'node:fs'
import type { EntryOptions, Event } from '@gooseberryspan/core'
import type { Recorder } from './entryNode.js'

/** The first line of a trace: the options from which the core is built. */
export interface TraceHeader extends Pick<EntryOptions, 'identity' | 'seeds' | 'tolerances' | 'lapseMs' | 'lingerMs' | 'stopLimitMs'> {
  seed: number
}

/** Each further line of a trace: one event. */
export interface TraceLine {
  /** Monotonic time in milliseconds. */
  at: number
  event: Event
}

/** Appends events to a trace file until it is closed, or until writing fails. A trace with a gap could not be replayed. */
export class EventRecorder implements Recorder {
  private readonly _file: WriteStream
  private _failed = false

  constructor (path: string, head: TraceHeader, failed: (error: Error) => void = () => {}) {
    this._file = createWriteStream(path)
    this._file.on('error', (error) => {
      this._failed = true
      failed(error)
    })
    this._file.write(`${JSON.stringify(head)}\n`)
  }

  record (event: Event, now: number): void {
    if (this._failed) return
    const line: TraceLine = { at: now, event }
    this._file.write(`${JSON.stringify(line)}\n`)
  }

  close (): Promise<void> {
    if (this._failed) return Promise.resolve()
    return new Promise((resolve) => this._file.end(() => resolve()))
  }
}
