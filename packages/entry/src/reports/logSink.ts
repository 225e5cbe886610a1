/** Buffered output of log lines. It never blocks the process, and drops lines when the reader is too slow. */
import { closeSync, constants, fstatSync, openSync, write, writeSync } from 'node:fs'
import { Socket } from 'node:net'

/** Options of a `LogSink`. */
export interface LogSinkOptions {
  /** Most bytes that are buffered. */
  maxBytes: number
  /** The descriptor to write to; standard output by default. */
  descriptor?: number
}

const STANDARD_OUTPUT = 1
const BUFFER_BYTES = 8192
const FLUSH_INTERVAL_MS = 250
/** Longest time for the last lines when the process ends; a planned stop reserves it. */
export const LOG_END_MS = 75
/** A write that takes longer waits for its reader. */
const STUCK_MS = 250
const NEWLINE = 10
const sockets: Socket[] = []

/** Collects lines and writes them in few system calls. */
export class LogSink {
  private readonly _maxBytes: number
  private readonly _descriptor: number
  private readonly _blocks: boolean
  private readonly _flushTimer: NodeJS.Timeout
  private _lines: string[] = []
  private _lineBytes = 0
  /** Bytes that a write has not accepted yet. */
  private _rest: Buffer = Buffer.alloc(0)
  private _pendingSince: number | undefined
  private _dropped = 0

  constructor ({ maxBytes, descriptor = STANDARD_OUTPUT }: LogSinkOptions) {
    const ownDescriptor = openNonBlocking(descriptor)
    this._maxBytes = maxBytes
    this._descriptor = ownDescriptor ?? descriptor
    this._blocks = ownDescriptor === undefined
    this._flushTimer = setInterval(() => this.flush(), FLUSH_INTERVAL_MS)
    this._flushTimer.unref()
  }

  /** Number of lines dropped so far. */
  get dropped (): number {
    return this._dropped
  }

  /** Whether a write waits for the reader. Then `process.exit` would wait too, since it joins the thread of that write. */
  get isStuck (): boolean {
    return this._pendingSince !== undefined && performance.now() - this._pendingSince > STUCK_MS
  }

  /** Queues a line, which ends with a newline. */
  write (line: string): void {
    const bytes = Buffer.byteLength(line)
    if (this._lineBytes + this._rest.length + bytes > this._maxBytes) {
      this._dropped += 1
      return
    }
    this._lines.push(line)
    this._lineBytes += bytes
    if (this._lineBytes >= BUFFER_BYTES && this._rest.length === 0) this.flush()
  }

  /** Writes what is queued, as far as the reader takes it. */
  flush (): void {
    if (this._pendingSince !== undefined || !this._fill()) return
    if (!this._blocks) return void this._writeNow()
    this._pendingSince = performance.now()
    write(this._descriptor, this._rest, (error, bytes) => {
      this._pendingSince = undefined
      if (error) this._failed(error)
      else this._rest = this._rest.subarray(bytes)
      if (this._rest.length > 0 && !error) this.flush()
    })
  }

  /** Writes the remaining lines, called when the process ends. Returns false if some could not be written in time. */
  end (): boolean {
    clearInterval(this._flushTimer)
    if (this.isStuck) return false
    if (this._pendingSince !== undefined) this._rest = Buffer.alloc(0)
    const until = performance.now() + LOG_END_MS
    const droppedBefore = this._dropped
    while (this._fill()) {
      if (!this._writeNow() && performance.now() > until) return false
    }
    return this._dropped === droppedBefore
  }

  /** Moves the queued lines to the bytes that are written next. Returns whether there are any. */
  private _fill (): boolean {
    if (this._rest.length === 0 && this._lines.length > 0) {
      this._rest = Buffer.from(this._lines.join(''))
      this._lines = []
      this._lineBytes = 0
    }
    return this._rest.length > 0
  }

  /** Returns false if the reader takes nothing at the moment. */
  private _writeNow (): boolean {
    try {
      this._rest = this._rest.subarray(writeSync(this._descriptor, this._rest))
      return true
    } catch (error) {
      return this._failed(error as NodeJS.ErrnoException)
    }
  }

  private _failed ({ code }: NodeJS.ErrnoException): boolean {
    if (code === 'EAGAIN') return false
    for (const byte of this._rest) if (byte === NEWLINE) this._dropped += 1
    this._rest = Buffer.alloc(0)
    return true
  }
}

/** Writes a line without waiting for a reader; a line that cannot be written is dropped. */
export function writeLine (descriptor: number, line: string): void {
  const ownDescriptor = openNonBlocking(descriptor)
  try {
    writeSync(ownDescriptor ?? descriptor, `${line}\n`)
  } catch {
    // The reader is gone or too slow.
  }
  if (ownDescriptor !== undefined && ownDescriptor !== descriptor) closeSync(ownDescriptor)
}

/**
 * Makes writes fail instead of waiting for a reader. A pipe or terminal is opened once more, since the mode of an inherited descriptor is
 * shared with other processes; a socket can't be, so its own mode changes. Returns undefined for files, and where opening fails.
 */
function openNonBlocking (descriptor: number): number | undefined {
  try {
    const status = fstatSync(descriptor)
    if (status.isSocket()) return nonBlockingSocket(descriptor)
    if (!status.isFIFO() && !status.isCharacterDevice()) return undefined
    return openSync(`/dev/fd/${descriptor}`, constants.O_WRONLY | constants.O_NONBLOCK | constants.O_NOCTTY)
  } catch {
    return undefined
  }
}

/** Node changes the mode of a descriptor that it takes for a socket. The socket must live on, since it would close the descriptor. */
function nonBlockingSocket (descriptor: number): number {
  sockets.push(new Socket({ fd: descriptor, readable: false, writable: false }))
  return descriptor
}
