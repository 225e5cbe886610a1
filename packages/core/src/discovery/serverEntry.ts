/** A backend server as it was registered. */

/** Where a backend server is and what it says of itself. */
export interface ServerEntry {
  /** Names one start of a server, mostly; a server may start again under the id it had. */
  id: string
  /** Tells starts under one id apart. */
  incarnation: string
  service: string
  host: string
  port: number
  zone: string
  /** Requests that it runs at a time. */
  slots: number
  state: 'ready' | 'draining'
  /** How much longer it stays cold, as of when the entry was read, in milliseconds. */
  coldMs: number
  /** Version of the row it was read from. */
  version: number
}
