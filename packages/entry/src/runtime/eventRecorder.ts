/** Writes a process's events to a file, one JSON object a line, for replay. */
import { createWriteStream, type WriteStream } from 'node:fs'
import type { EntryOptions, Event } from '@gooseberryspan/core'
import type { Recorder } from './entryNode.js'

/** The first line of a trace: all that a core is built from. */
export interface TraceHead extends Pick<EntryOptions, 'identity' | 'seeds' | 'tolerances' | 'lapseMs' | 'lingerMs'> {
  seed: number
}

/** Every later line of a trace. */
export interface TraceLine {
  /** Monotonic time in milliseconds. */
  at: number
  event: Event
}

/** Records to a file until closed. */
export class EventRecorder implements Recorder {
  private readonly _file: WriteStream

  constructor (path: string, head: TraceHead) {
    this._file = createWriteStream(path)
    this._file.write(`${JSON.stringify(head)}\n`)
  }

  record (event: Event, now: number): void {
    const line: TraceLine = { at: now, event }
    this._file.write(`${JSON.stringify(line)}\n`)
  }

  close (): Promise<void> {
    return new Promise((resolve) => this._file.end(() => resolve()))
  }
}
