/** Measures the traffic of member lists with hundreds of members and the time until they agree: `npm run measure -- members`. */
import { MemberModel } from '../members/memberModel.js'
import { VirtualTime } from '../model/virtualTime.js'
import type { MeasurementResult } from './verdict.js'

const MEMBER_COUNTS = [100, 312, 1000]
const ZONE_COUNT = 5
const START_SPREAD_MS = 300
/** All members know each other 2 s after a start. */
const DISCOVERY_TARGET_MS = 2000
/** All members know which members ended 3 s after these were killed. */
const FAILURE_DETECTION_TARGET_MS = 3000
/** Limit for what one member sends while the membership does not change. */
const MAX_BYTES_PER_SECOND = 2000
const IDLE_START_MS = 8000
const IDLE_PERIOD_MS = 5000
const KILLED_FRACTION = 0.55

interface MembersRow {
  members: number
  missingAfterStart: number
  calmBytesMost: number
  calmDatagrams: number
  ghostsAfterKill: number
  missingAfterReturn: number
}

/** Simulates, for each member count, a start, an idle period, the kill of more than half of the members, and their restart. */
export function measureMembers (printLine: (line: string) => void): MeasurementResult {
  const rows: MembersRow[] = []
  const missedTargets: string[] = []
  for (const members of MEMBER_COUNTS) {
    const row = measureCluster(members)
    printLine(JSON.stringify(row))
    rows.push(row)
    if (row.missingAfterStart > 0) missedTargets.push(`${members}: ${row.missingAfterStart} of member pairs missing after a start`)
    if (row.calmBytesMost > MAX_BYTES_PER_SECOND) missedTargets.push(`${members}: ${row.calmBytesMost} bytes a second from an idle member`)
    if (row.ghostsAfterKill > 0) missedTargets.push(`${members}: ${row.ghostsAfterKill} of pairs in which a dead member is listed as alive`)
    if (row.missingAfterReturn > 0) missedTargets.push(`${members}: ${row.missingAfterReturn} of member pairs missing after the restart`)
  }
  return { rows, missedTargets, summary: { sizes: MEMBER_COUNTS } }
}

function measureCluster (members: number): MembersRow {
  const time = new VirtualTime()
  const model = new MemberModel({ members, zones: ZONE_COUNT, seed: 1, stoppedSeeds: 1 }, time)
  time.runUntil(START_SPREAD_MS + DISCOVERY_TARGET_MS)
  const missingAfterStart = model.agreement().missing
  time.runUntil(IDLE_START_MS)
  model.takeSentBytes()
  const datagrams = model.datagrams
  time.runUntil(IDLE_START_MS + IDLE_PERIOD_MS)
  const calmBytesMost = Math.round(Math.max(...model.takeSentBytes()) / IDLE_PERIOD_MS * 1000)
  const calmDatagrams = (model.datagrams - datagrams) / members / IDLE_PERIOD_MS * 1000
  model.killFraction(KILLED_FRACTION)
  time.runUntil(time.now + FAILURE_DETECTION_TARGET_MS)
  const ghostsAfterKill = model.agreement().ghosts
  model.restartKilled()
  time.runUntil(time.now + START_SPREAD_MS + DISCOVERY_TARGET_MS)
  return { members, missingAfterStart, calmBytesMost, calmDatagrams, ghostsAfterKill, missingAfterReturn: model.agreement().missing }
}
