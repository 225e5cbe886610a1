/** What a measurement came to. */

/** Rows of figures, the targets that were missed, and figures for the last line. */
export interface Verdict {
  rows: object[]
  missed: string[]
  summary: object
}
