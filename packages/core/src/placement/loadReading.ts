/** What a backend server said of its load at one moment. */

/** A load report as it came. */
export interface LoadReport {
  running: number
  waiting: number
  slots: number
  /** How long work takes there now, as a multiple of the usual. */
  pace: number
}

/** A load report with its time. */
export interface LoadReading extends LoadReport {
  /** When the server made it, at the reader's clock, in milliseconds. */
  at: number
}
