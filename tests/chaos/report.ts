/** What happened in a run, with times relative to its start. */
const MAX_SHOWN_OF_A_CHECK = 6

/** A broken promise. */
export interface Finding {
  at: number
  check: string
  detail: string
}

/** Collects the injected faults and the findings of a run. */
export class Report {
  readonly findings: Finding[] = []
  /** Whether the run was ended before all checks were made. */
  interrupted = false
  private readonly _startedAt = performance.now()
  private readonly _lines: string[] = []

  /** Milliseconds since the start. */
  get now (): number {
    return Math.round(performance.now() - this._startedAt)
  }

  note (text: string): void {
    this._lines.push(`${String(this.now).padStart(6)} ms  ${text}`)
  }

  finding (check: string, detail: string): void {
    this.findings.push({ at: this.now, check, detail })
    this.note(`FINDING ${check}: ${detail}`)
  }

  /** Formats the report: all lines, or only the findings. */
  format (command: string, { full }: { full: boolean }): string {
    const first = this.findings.filter(({ check }, index) => (
      this.findings.slice(0, index).filter((other) => other.check === check).length < MAX_SHOWN_OF_A_CHECK
    ))
    const shown = first.map(({ at, check, detail }) => `  ${at} ms  ${check}: ${detail}`)
    const more = this.findings.length - shown.length
    if (more > 0) shown.push(`  and ${more} more`)
    const outcome = this.findings.length === 0 ? 'sound' : `BROKEN: ${this.findings.length} findings`
    const verdict = this.interrupted ? `interrupted, ${this.findings.length} findings so far` : outcome
    return [...(full ? this._lines : []), `${command}: ${verdict}`, ...shown, ''].join('\n')
  }
}
