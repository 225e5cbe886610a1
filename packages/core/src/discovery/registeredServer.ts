/** A backend server as it was registered. */

/** Address of a backend server and the properties that it registered. */
export interface RegisteredServer {
  /** Usually identifies one start of a server, but a server may restart with its former id. */
  id: string
  /** Distinguishes several starts with the same id. */
  incarnation: string
  service: string
  host: string
  port: number
  zone: string
  /** Number of requests that the server runs concurrently. */
  slots: number
  state: 'ready' | 'draining'
  /** Remaining warm-up time when the registration was read, in milliseconds. */
  coldMs: number
  /** Version of the store row that the registration was read from. */
  version: number
}
