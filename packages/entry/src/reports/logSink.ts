/** Buffered output of log lines. It never blocks, and drops lines when the reader is too slow. */
import { destination } from 'pino'

/** A stream for pino that counts the lines it drops. */
export interface LogSink {
  stream: ReturnType<typeof destination>
  /** Returns the number of lines dropped since the process started. */
  dropped: () => number
  /** Writes all buffered lines; called when the process ends. */
  end: () => void
}

const BUFFER_BYTES = 8192
const FLUSH_INTERVAL_MS = 250

/** Creates a sink that writes to standard output and buffers at most `maxBytes`. */
export function logSink (maxBytes: number): LogSink {
  let dropped = 0
  const stream = destination({ dest: 1, sync: false, minLength: BUFFER_BYTES, maxLength: maxBytes })
  stream.on('drop', () => {
    dropped += 1
  })
  stream.on('error', () => {})
  const flushTimer = setInterval(() => stream.flush(), FLUSH_INTERVAL_MS)
  flushTimer.unref()
  return {
    stream,
    dropped: () => dropped,
    end: () => {
      try {
        stream.flushSync()
      } catch {
        // The reader has closed the stream, so the error cannot be logged.
      }
    }
  }
}
