/** One operating system process of an entry, with the limits of its instance. */
import { spawn, type ChildProcess } from 'node:child_process'
import { readFileSync, readdirSync } from 'node:fs'

/** How a process ended. */
export interface ProcessEnd {
  code: number | null
  signal: NodeJS.Signals | null
}

/** Options of a process. */
export interface EntryProcessOptions {
  root: string
  command: string[]
  settingsPath: string
  now: () => number
  ended: (end: ProcessEnd) => void
}

/** Descriptors that the instance allows. */
export const MAX_DESCRIPTORS = 4100
const KEPT_OUTPUT_CHARACTERS = 2000
const HANG_UP_BIT = 1n

/** A started entry. */
export class EntryProcess {
  readonly startedAt: number
  readyAt: number | undefined
  /** When it was told to stop, or killed. */
  stopAt: number | undefined
  killed = false
  paused = false
  overMemory = false
  lateToStart = false
  peakKilobytes = 0
  peakDescriptors = 0
  errors = ''
  output = ''
  /** Resolves once the process has ended. */
  readonly ended: Promise<void>
  private readonly _child: ChildProcess
  private _end: ProcessEnd | undefined

  constructor ({ root, command, settingsPath, now, ended }: EntryProcessOptions) {
    this.startedAt = now()
    this._child = spawn('prlimit', [`--nofile=${MAX_DESCRIPTORS}:${MAX_DESCRIPTORS}`, ...command], {
      cwd: root,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, GOOSEBERRYSPAN_NODE_FILE: settingsPath },
      stdio: ['ignore', 'pipe', 'pipe']
    })
    this._child.stdout!.on('data', (part: Buffer) => {
      this.output = `${this.output}${part.toString('latin1')}`.slice(-KEPT_OUTPUT_CHARACTERS)
    })
    this._child.stderr!.on('data', (part: Buffer) => {
      this.errors = `${this.errors}${part.toString('latin1')}`.slice(0, KEPT_OUTPUT_CHARACTERS)
    })
    for (const stream of [this._child.stdout!, this._child.stderr!]) stream.on('error', () => {})
    this.ended = new Promise((resolve) => {
      this._child.once('exit', (code, signal) => {
        this._end = { code, signal }
        // The last output may arrive after the exit.
        setTimeout(() => {
          ended(this._end!)
          resolve()
        }, 50)
      })
    })
  }

  get pid (): number {
    return this._child.pid!
  }

  get alive (): boolean {
    return this._end === undefined
  }

  signal (signal: NodeJS.Signals): void {
    if (this.alive) this._child.kill(signal)
  }

  kill (): void {
    this.killed = true
    this.signal('SIGKILL')
  }

  /** Whether the process handles SIGHUP, rather than being ended by it. */
  get handlesHangUp (): boolean {
    return (BigInt(`0x${this._status('SigCgt') || '0'}`) & HANG_UP_BIT) !== 0n
  }

  /** Reads the memory and the descriptors in use. */
  measure (): number {
    const kilobytes = Number.parseInt(this._status('VmRSS') || '0', 10)
    this.peakKilobytes = Math.max(this.peakKilobytes, kilobytes)
    try {
      this.peakDescriptors = Math.max(this.peakDescriptors, readdirSync(`/proc/${this.pid}/fd`).length)
    } catch {
      // The process has just ended.
    }
    return kilobytes
  }

  pauseLogReader (paused: boolean): void {
    if (paused) this._child.stdout!.pause()
    else this._child.stdout!.resume()
  }

  closeLogReader (): void {
    this._child.stdout!.destroy()
    this._child.stderr!.destroy()
  }

  private _status (field: string): string {
    try {
      return new RegExp(`^${field}:\\s+(\\w+)`, 'm').exec(readFileSync(`/proc/${this.pid}/status`, 'utf8'))?.[1] ?? ''
    } catch {
      return ''
    }
  }
}
