/** Where a command's results go. */

/** Writes results for people or for scripts. */
export interface Output {
  /** For scripts, when they asked for JSON; else the lines, for people. */
  show (value: unknown, lines: string[]): void
}

/** Writes to standard output. */
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
