/** Types of the functions used from js-csp, which ships no types. */
declare module 'js-csp' {
  interface Library {
    readonly CLOSED: null
    readonly NO_VALUE: string
    readonly buffers: {
      fixed (size: number): unknown
      dropping (size: number): unknown
      sliding (size: number): unknown
    }
    chan (buffer?: unknown): unknown
    go (body: () => Generator<unknown, unknown, unknown>, args?: unknown[]): unknown
    take (channel: unknown): unknown
    put (channel: unknown, value: unknown): unknown
    poll (channel: unknown): unknown
    offer (channel: unknown, value: unknown): boolean
    alts (operations: unknown[], options?: unknown): unknown
    timeout (ms: number): unknown
  }

  const csp: Library
  export default csp
}
