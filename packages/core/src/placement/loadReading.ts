/** The load of a backend server at one moment, as the server reported it. */

/** A load report as received from a server. */
export interface LoadReport {
  running: number
  waiting: number
  slots: number
  /** How long work takes there now, as a multiple of the usual time. */
  pace: number
}

/** A load report with the time at which it was made. */
export interface LoadReading extends LoadReport {
  /** When the server made it, by the clock of this process, in milliseconds. */
  at: number
}
