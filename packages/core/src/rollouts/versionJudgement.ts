/**
 * Compares the answers of a new version with those of the version in service. The load it answers: a new version gets a small share of
 * the requests, a quarter of the servers run several times slower for short spells, and single servers may fail for reasons of their own.
 */
import { addCount, newCount, type AnswerCount, type RouteCounts } from './answerCounts.js'

/** What the answers so far show about a version. */
export type Verdict =
  /** It fails or delays answers that the version in service does not. */
  | 'bad'
  /** It is as good as the version in service on each route with enough requests. */
  | 'good'
  | 'undecided'

/** How often a bad version may pass. It has to pass all tests, so each may be wrong as often. */
const PASS_ERROR_PROBABILITY = 1 / 200
/** How often one test may call a version bad that is as good. A version is tested on each route and for both measures. */
const BLAME_ERROR_PROBABILITY = 1 / 2000
/** The sequential test of Wald ends when the logarithm of the likelihood ratio leaves these bounds. */
const PASS_BOUND = -Math.log((1 - PASS_ERROR_PROBABILITY) / PASS_ERROR_PROBABILITY)
const BLAME_BOUND = Math.log((1 - BLAME_ERROR_PROBABILITY) / BLAME_ERROR_PROBABILITY)
/** A version is bad if this fraction of its answers fails beyond the fraction of the version in service. */
const FAILURE_EXCESS = 0.1
/** A version is bad if this fraction of its answers is slow beyond the fraction of the version in service. */
const SLOW_EXCESS = 0.3
const MIN_FAILURE_FRACTION = 0.005
/** A trial uses few servers and cannot avoid those that are slow for a spell, as the placement of all other requests does. */
const MIN_SLOW_FRACTION = 0.15
const MAX_FRACTION = 0.6
/** Number of usual answers that the assumed minimum fractions count for beside those of the version in service. */
const ASSUMED_ANSWERS = 20
/** A version with this many more bad answers than usual is bad, however many servers they came from. */
const MAX_BAD_ANSWERS = 25
/** Evidence from one server alone is evidence about that server. */
const MIN_SERVERS_WITH_EVIDENCE = 2
/** A server shows evidence with this many bad answers beyond the usual number. */
const MIN_EVIDENCE_OF_SERVER = 1.5
/** A route on which the version in service got fewer requests than this decides nothing. */
const MIN_FORMER_ANSWERS = 20

/** The usual fraction is itself an estimate. A version is compared with this many standard errors more before it is called bad. */
const STANDARD_ERRORS = 1.5

type Measure = 'failed' | 'slow'
const MEASURES: readonly Measure[] = ['failed', 'slow']

/** Judges a version by the answers of all entries so far. */
export function judgeVersion (routes: readonly RouteCounts[]): Verdict {
  let judgedRoutes = 0
  let passedRoutes = 0
  for (const { former, target } of routes) {
    const sum = sumOf(target)
    if (sum.total === 0 && former.total < MIN_FORMER_ANSWERS) continue
    judgedRoutes += 1
    for (const measure of MEASURES) {
      const evidenceOfFault = evidence(sum, measure, highFraction(former, measure))
      if (evidenceOfFault > BLAME_BOUND && isWidespread(target, former, measure)) return 'bad'
    }
    if (MEASURES.every((measure) => evidence(sum, measure, usualFraction(former, measure)) < PASS_BOUND)) passedRoutes += 1
  }
  return judgedRoutes > 0 && passedRoutes === judgedRoutes ? 'good' : 'undecided'
}

/** Logarithm of how much likelier the answers are for a bad version than for one as good as the version in service. */
function evidence (target: AnswerCount, measure: Measure, usual: number): number {
  const bad = Math.min(0.99, usual + (measure === 'failed' ? FAILURE_EXCESS : SLOW_EXCESS))
  const hits = target[measure]
  const others = answersFor(target, measure) - hits
  return hits * Math.log(bad / usual) + others * Math.log((1 - bad) / (1 - usual))
}

/** Number of answers that a measure was taken of. */
function answersFor ({ total, timed }: AnswerCount, measure: Measure): number {
  return measure === 'failed' ? total : timed
}

/** The fraction of such answers that the version in service gives, at least the assumed minimum. */
function usualFraction (former: AnswerCount, measure: Measure): number {
  const assumed = measure === 'failed' ? MIN_FAILURE_FRACTION : MIN_SLOW_FRACTION
  const observed = (former[measure] + assumed * ASSUMED_ANSWERS) / (answersFor(former, measure) + ASSUMED_ANSWERS)
  return Math.min(MAX_FRACTION, Math.max(assumed, observed))
}

/** The fraction that the version in service may give in truth, considering how few of its answers were seen. */
function highFraction (former: AnswerCount, measure: Measure): number {
  const usual = usualFraction(former, measure)
  const error = Math.sqrt(usual * (1 - usual) / (answersFor(former, measure) + ASSUMED_ANSWERS))
  return Math.min(MAX_FRACTION, usual + STANDARD_ERRORS * error)
}

/** Whether bad answers come from several servers, or are too many to wait for a second one. */
function isWidespread (target: RouteCounts['target'], former: AnswerCount, measure: Measure): boolean {
  const usual = usualFraction(former, measure)
  let excess = 0
  let serversWithEvidence = 0
  for (const count of target) {
    const excessOfServer = count[measure] - usual * answersFor(count, measure)
    excess += excessOfServer
    if (excessOfServer >= MIN_EVIDENCE_OF_SERVER) serversWithEvidence += 1
  }
  return serversWithEvidence >= Math.min(MIN_SERVERS_WITH_EVIDENCE, target.length) || excess >= MAX_BAD_ANSWERS
}

function sumOf (counts: readonly AnswerCount[]): AnswerCount {
  const sum = newCount()
  for (const count of counts) addCount(sum, count)
  return sum
}
