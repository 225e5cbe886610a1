/** Typed channels and the operations on them. Each operation is a generator: `yield*` it inside a process. */
import csp from 'js-csp'

/** The body of a process, or a part of one. */
export type Steps<T> = Generator<unknown, T, unknown>

/** What happens to a value put into a full channel. */
export type Overflow = 'wait' | 'drop-newest' | 'drop-oldest'

/** A queue between processes. Values must not be null; null means closed. */
export class Channel<T> {
  readonly raw: { close (): void, closed: boolean }

  constructor (size = 0, overflow: Overflow = 'wait') {
    this.raw = csp.chan(size === 0 ? undefined : bufferOf(size, overflow)) as { close (): void, closed: boolean }
  }

  get closed (): boolean {
    return this.raw.closed
  }

  close (): void {
    this.raw.close()
  }

  /** Puts without waiting; false when there is no room. For code outside a process. */
  offer (value: T): boolean {
    return csp.offer(this.raw, value)
  }

  /** The next value if there is one, without waiting. */
  poll (): T | undefined {
    const value = csp.poll(this.raw)
    return value === csp.NO_VALUE || value === csp.CLOSED ? undefined : value as T
  }
}

/** Waits for the next value; null once the channel is closed and empty. */
export function * take<T> (channel: Channel<T>): Steps<T | null> {
  return (yield csp.take(channel.raw)) as T | null
}

/** Waits until the value is accepted; false when the channel is closed. */
export function * put<T> (channel: Channel<T>, value: T): Steps<boolean> {
  return (yield csp.put(channel.raw, value)) as boolean
}

/** Waits for a time in milliseconds, or less when the channel is closed. Returns whether the whole time passed. */
export function * sleepUnless (ms: number, closing: Channel<never>): Steps<boolean> {
  const timer = csp.timeout(ms)
  const result = (yield csp.alts([timer, closing.raw])) as { channel: unknown }
  return result.channel === timer
}

/** Waits for a value from a channel, or for another channel to close; null in the second case. */
export function * takeUnless<T> (channel: Channel<T>, closing: Channel<never>): Steps<T | null> {
  const result = (yield csp.alts([channel.raw, closing.raw], { priority: true })) as { channel: unknown, value: T | null }
  return result.channel === channel.raw ? result.value : null
}

/** Waits for a value from a channel, for a time in milliseconds, or for another channel to close; null when no value came. */
export function * takeWithin<T> (channel: Channel<T>, ms: number, closing: Channel<never>): Steps<T | null> {
  const result = (yield csp.alts([channel.raw, csp.timeout(ms), closing.raw], { priority: true })) as { channel: unknown, value: T | null }
  return result.channel === channel.raw ? result.value : null
}

/** What became of a promise. */
export type Settled<T> =
  | { ok: true, value: T }
  | { ok: false, error: unknown }

/** Waits for a promise inside a process. */
export function * settle<T> (promise: Promise<T>): Steps<Settled<T>> {
  const done = new Channel<Settled<T>>(1)
  promise.then(
    (value) => done.offer({ ok: true, value }),
    (error) => done.offer({ ok: false, error })
  )
  return (yield * take(done)) as Settled<T>
}

function bufferOf (size: number, overflow: Overflow): unknown {
  switch (overflow) {
    case 'wait': return csp.buffers.fixed(size)
    case 'drop-newest': return csp.buffers.dropping(size)
    case 'drop-oldest': return csp.buffers.sliding(size)
  }
}
