/** Output of command results. */

/** Writes a command's results for people or for scripts. */
export interface Output {
  /** Writes the value as JSON when JSON output was requested, otherwise the lines of text. */
  show (value: unknown, lines: string[]): void
}

/** Writes results to standard output. */
export class StandardOutput implements Output {
  private readonly _json: boolean

  constructor (json: boolean) {
    this._json = json
  }

  show (value: unknown, lines: string[]): void {
    const text = this._json ? JSON.stringify(value) : lines.join('\n')
    process.stdout.write(`${text}\n`)
  }
}
