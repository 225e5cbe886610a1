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

/** Appends events to a trace file until it is closed. */
export class EventRecorder implements Recorder {
  private readonly _file: WriteStream

  constructor (path: string, head: TraceHeader) {
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
