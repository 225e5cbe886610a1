/** The result of a measurement. */

/** Rows of figures, descriptions of the missed targets, and figures for the summary line. */
export interface MeasurementResult {
  rows: object[]
  missedTargets: string[]
  summary: object
}
