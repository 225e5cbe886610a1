/** Typed channels and the operations on them. Each operation is a generator, to be run with `yield*` inside a process. */
import csp from 'js-csp'

/** The body of a process, or a part of one. */
export type ProcessBody<T> = Generator<unknown, T, unknown>

/** Determines what happens when a value is put into a full channel. */
export type OverflowPolicy = 'wait' | 'drop-newest' | 'drop-oldest'

/** A queue between processes. Values must not be null; null means closed. */
export class Channel<T> {
  readonly raw: { close (): void, closed: boolean }

  constructor (size = 0, overflow: OverflowPolicy = 'wait') {
    this.raw = csp.chan(size === 0 ? undefined : bufferOf(size, overflow)) as { close (): void, closed: boolean }
  }

  get closed (): boolean {
    return this.raw.closed
  }

  close (): void {
    this.raw.close()
  }

  /** Puts a value without waiting. Returns false when the channel is full. For use outside processes. */
  offer (value: T): boolean {
    return csp.offer(this.raw, value)
  }

  /** Takes the next value without waiting. Returns undefined when there is none. */
  poll (): T | undefined {
    const value = csp.poll(this.raw)
    return value === csp.NO_VALUE || value === csp.CLOSED ? undefined : value as T
  }
}

/** Waits for the next value. Returns null when the channel is closed and empty. */
export function * take<T> (channel: Channel<T>): ProcessBody<T | null> {
  return (yield csp.take(channel.raw)) as T | null
}

/** Waits until the channel accepts the value. Returns false when the channel is closed. */
export function * put<T> (channel: Channel<T>, value: T): ProcessBody<boolean> {
  return (yield csp.put(channel.raw, value)) as boolean
}

/** Waits for `ms` milliseconds, or until `closing` closes. Returns whether the full time passed. */
export function * sleepUnlessClosed (ms: number, closing: Channel<never>): ProcessBody<boolean> {
  const timer = csp.timeout(ms)
  const result = (yield csp.alts([timer, closing.raw])) as { channel: unknown }
  return result.channel === timer
}

/** Waits for the next value, or until `closing` closes. Returns null in the second case. */
export function * takeUnlessClosed<T> (channel: Channel<T>, closing: Channel<never>): ProcessBody<T | null> {
  const result = (yield csp.alts([channel.raw, closing.raw], { priority: true })) as { channel: unknown, value: T | null }
  return result.channel === channel.raw ? result.value : null
}

/** Waits for the next value, for at most `ms` milliseconds, or until `closing` closes. Returns null when no value arrived. */
export function * takeWithTimeout<T> (channel: Channel<T>, ms: number, closing: Channel<never>): ProcessBody<T | null> {
  const result = (yield csp.alts([channel.raw, csp.timeout(ms), closing.raw], { priority: true })) as { channel: unknown, value: T | null }
  return result.channel === channel.raw ? result.value : null
}

/** The outcome of a promise. */
export type SettledResult<T> =
  | { ok: true, value: T }
  | { ok: false, error: unknown }

/** Waits inside a process until a promise is settled. */
export function * awaitPromise<T> (promise: Promise<T>): ProcessBody<SettledResult<T>> {
  const done = new Channel<SettledResult<T>>(1)
  promise.then(
    (value) => done.offer({ ok: true, value }),
    (error) => done.offer({ ok: false, error })
  )
  return (yield * take(done)) as SettledResult<T>
}

function bufferOf (size: number, overflow: OverflowPolicy): unknown {
  switch (overflow) {
    case 'wait': return csp.buffers.fixed(size)
    case 'drop-newest': return csp.buffers.dropping(size)
    case 'drop-oldest': return csp.buffers.sliding(size)
  }
}
