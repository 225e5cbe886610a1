/** The instance list's behaviour: versions, changes, and a lag before readers see them. */
import type { ListedServer } from '@gooseberryspan/core'
import type { ListReading } from '@gooseberryspan/platform'

interface Entry {
  id: string
  version: number
  visibleAt: number
  server?: ListedServer
}

/** Live and leaving servers, as readers see them some time later. */
export class InstanceBook {
  private readonly _entries: Entry[] = []
  private readonly _lagMs: number
  private readonly _now: () => number
  private _version = 0

  constructor (lagMs: number, now: () => number) {
    this._lagMs = lagMs
    this._now = now
  }

  put (server: ListedServer): void {
    this._add(server.id, server)
  }

  remove (id: string): void {
    this._add(id, undefined)
  }

  read (since: number): ListReading {
    const latest = new Map<string, Entry>()
    let version = since
    for (const entry of this._entries) {
      if (entry.visibleAt > this._now()) break
      version = entry.version
      if (since === 0 || entry.version > since) latest.set(entry.id, entry)
    }
    const servers: ListedServer[] = []
    const removed: string[] = []
    for (const entry of latest.values()) {
      if (entry.server) servers.push(entry.server)
      else removed.push(entry.id)
    }
    return { version, change: { whole: since === 0, servers, removed: since === 0 ? [] : removed } }
  }

  private _add (id: string, server: ListedServer | undefined): void {
    this._version += 1
    this._entries.push({ id, version: this._version, visibleAt: this._now() + this._lagMs, server })
  }
}
