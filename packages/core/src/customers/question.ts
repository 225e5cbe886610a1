/** The question whether a request is within its customer's quota. */
import type { Member } from '../members/member.js'

/** What a question waits for: the answer of another entry, or parts that are being lent to this one. */
export type Stage = 'asked' | 'passed-on' | 'collecting'

export interface Question {
  number: number
  customer: string
  /** The entry that asks, with the number of its question; absent if a request of this entry asks. */
  asker?: { member: Member, ask: number, key: string, isPassedOn: boolean }
  /** How often it has been passed on so far. */
  hops: number
  stage: Stage
  askedAt: number
  sentAt: number
  resentAt: number
  holder: string
}

/** A question that has not been sent. */
export function newQuestion (number: number, customer: string, now: number): Question {
  return { number, customer, hops: 0, stage: 'asked', askedAt: now, sentAt: now, resentAt: now, holder: '' }
}
