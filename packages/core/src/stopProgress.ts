/** When an entry that was asked to stop may go: nothing in flight, nothing held, no caller still sent here. */
import type { EntryCore } from './entryCore.js'

/** What a stopping entry waits for. */
export type StopProgress = 'running' | 'handing-over' | 'answering' | 'keep-time' | 'done'

/** A hand-over that nobody asks for is not waited for longer than this. */
const LONGEST_HANDOVER_MS = 10_000

/** How far a stop has come. */
export function stopProgress (core: EntryCore, stoppedAt: number | undefined, now: number): StopProgress {
  if (stoppedAt === undefined) return 'running'
  const others = core.membership.view.members.some((member) => member !== core.membership.self && member.state !== 'stopping')
  const waits = others && now - stoppedAt < LONGEST_HANDOVER_MS
  if (core.ownership.active.length > 0 && waits) return 'handing-over'
  if (core.router.open > 0) return 'answering'
  if (now - stoppedAt < (core.revisions.document?.policies.addressKeepMs ?? 0)) return 'keep-time'
  return 'done'
}
