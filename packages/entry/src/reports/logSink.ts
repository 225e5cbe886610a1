/** Where log lines go: buffered, never blocking, and dropped when the reader is too slow. */
import { destination } from 'pino'

/** A stream for pino that counts what it drops. */
export interface LogSink {
  stream: ReturnType<typeof destination>
  /** Lines dropped since start. */
  dropped: () => number
  /** Writes out what waits, at the end of the process. */
  end: () => void
}

const BUFFER_BYTES = 8192
const FLUSH_MS = 250

/** A sink on standard output that holds at most `mostBytes`. */
export function logSink (mostBytes: number): LogSink {
  let dropped = 0
  const stream = destination({ dest: 1, sync: false, minLength: BUFFER_BYTES, maxLength: mostBytes })
  stream.on('drop', () => {
    dropped += 1
  })
  stream.on('error', () => {})
  const flush = setInterval(() => stream.flush(), FLUSH_MS)
  flush.unref()
  return {
    stream,
    dropped: () => dropped,
    end: () => {
      try {
        stream.flushSync()
      } catch {
        // The reader has gone; there is nobody left to tell.
      }
    }
  }
}
