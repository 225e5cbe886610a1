/** Other ways to choose the second holder, weighed against the one in use. */
import type { Member, PeerChoice, PeerChoiceContext, Request } from '@gooseberryspan/core'

/** Never sends on: a full holder's requests wait where they are. */
export class NoPeer implements PeerChoice {
  choose (): Member | undefined {
    return undefined
  }

  noted (): void {}
}

/** Rooms of all holders as some report had them. */
export interface RoomReports {
  roomOf (instance: string, service: string): number
}

/** Sends to the holder with the most room by a report that is some time old. */
export class ReportedPeer implements PeerChoice {
  private readonly _context: PeerChoiceContext
  private readonly _reports: RoomReports

  constructor (context: PeerChoiceContext, reports: RoomReports) {
    this._context = context
    this._reports = reports
  }

  choose (request: Request): Member | undefined {
    let best: Member | undefined
    let bestRoom = -Infinity
    for (const { member } of this._context.directory.targetsOf(request.service)) {
      if (member.instance === this._context.instance || request.sentTo.includes(member.instance)) continue
      const room = this._reports.roomOf(member.instance, request.service)
      if (room <= bestRoom) continue
      best = member
      bestRoom = room
    }
    return best
  }

  noted (): void {}
}
