/** Which other holder a request is sent on to: drawn by capacity, never by a report of room. */
import type { Member } from '../membership/tables.js'
import { drawWeighted, type Random } from '../random.js'
import type { Directory, Target } from './directory.js'
import type { Request } from './request.js'
import type { ForwardEnd } from './router.js'

const BUSY_MS = 20
const FAILED_MS = 1000

/** A way to choose another holder. */
export interface PeerChoice {
  /** Another holder for the request, or undefined when there is none to send it to. */
  choose (request: Request, now: number): Member | undefined
  /** What a peer's answer to a request that was sent on says. */
  noted (peer: string, end: ForwardEnd, now: number): void
}

/** What a choice is made from. */
export interface PeerChoiceContext {
  directory: Directory
  random: Random
  /** The own instance. */
  instance: string
}

/** Draws among the holders of a service, leaving out those whose own last answer speaks against them. */
export class DrawnPeer implements PeerChoice {
  private readonly _avoidUntil = new Map<string, number>()
  private readonly _context: PeerChoiceContext

  constructor (context: PeerChoiceContext) {
    this._context = context
  }

  choose (request: Request, now: number): Member | undefined {
    const fit = this._context.directory.targetsOf(request.service).filter((target) => this._isFit(target, request, now))
    return drawWeighted(fit, (target) => target.servers, this._context.random)?.member
  }

  /** Remembers a peer's own last answer for a short time. */
  noted (peer: string, end: ForwardEnd, now: number): void {
    if (end.outcome === 'refused' || end.outcome === 'lost') this._avoidUntil.set(peer, now + FAILED_MS)
    else if (end.busy || end.reason === 'full') this._avoidUntil.set(peer, now + BUSY_MS)
    else this._avoidUntil.delete(peer)
  }

  private _isFit (target: Target, request: Request, now: number): boolean {
    const peer = target.member.instance
    if (peer === this._context.instance || request.sentTo.includes(peer)) return false
    return now >= (this._avoidUntil.get(peer) ?? 0)
  }
}
