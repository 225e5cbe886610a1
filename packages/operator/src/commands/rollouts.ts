/** The commands that order, withdraw and follow roll-outs. */
import { setTimeout as pause } from 'node:timers/promises'
import type { OperatorClient, RolloutResult } from '../client/operatorClient.js'
import { EXIT } from '../errors.js'
import type { Output } from './output.js'

/** Options of the rollout command. */
export interface RolloutOptions {
  /** Time that the roll-out may take, in seconds. */
  seconds: number
  /** Whether to wait for its end. */
  wait: boolean
}

const POLL_INTERVAL_MS = 500
/** A roll-out may end this long after its time, while the deciding entry is replaced or waits for an entry that is cut off. */
const MAX_OVERTIME_MS = 60_000

/** Orders that a service is moved to a software version, and waits for the end if asked to. */
export async function orderRollout (
  client: OperatorClient, service: string, version: string, { seconds, wait }: RolloutOptions, output: Output
): Promise<number> {
  const result = await client.orderRollout(service, version, seconds)
  if (result.outcome !== 'accepted') return showResult(result, output)
  if (!wait) return showResult(result, output)
  for (const until = Date.now() + seconds * 1000 + MAX_OVERTIME_MS; Date.now() < until; await pause(POLL_INTERVAL_MS)) {
    const progress = (await client.rollouts()).find((rollout) => rollout.service === service && rollout.target === version)
    if (progress?.phase !== 'completed' && progress?.phase !== 'rolled-back') continue
    output.show(progress, [`${service}: ${version} ${progress.phase}`])
    return progress.phase === 'completed' ? EXIT.done : EXIT.refused
  }
  output.show({ outcome: 'unsettled' }, [`${service}: ${version} has not ended`])
  return EXIT.unavailable
}

/** Withdraws the order for a service. */
export async function withdrawRollout (client: OperatorClient, service: string, output: Output): Promise<number> {
  return showResult(await client.withdrawRollout(service), output)
}

/** Shows the roll-outs that an entry knows. */
export async function listRollouts (client: OperatorClient, output: Output): Promise<number> {
  const rollouts = await client.rollouts()
  output.show(rollouts, rollouts.length === 0
    ? ['no roll-outs']
    : rollouts.map(({ service, target, former, phase, targetRequests, requests }) =>
      `${service}: ${former.join(', ') || '-'} -> ${target}, ${phase}; ${targetRequests} of ${requests} requests placed by this entry`))
  return EXIT.done
}

function showResult (result: RolloutResult, output: Output): number {
  output.show(result, [result.error === undefined ? result.outcome : `${result.outcome}: ${result.error}`])
  return result.outcome === 'accepted' ? EXIT.done : result.outcome === 'refused' ? EXIT.refused : EXIT.unavailable
}
