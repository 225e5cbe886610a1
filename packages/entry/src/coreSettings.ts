/** What the settings mean for the core of an entry. */
import type { ExposureLimit, Tolerances } from '@gooseberryspan/core'
import type { Settings } from './settings.js'

const MS_PER_SECOND = 1000
/** An entry that is cut off stops serving keys a little earlier, since requests that it has accepted still have to reach a server. */
const REVOKE_MARGIN_MS = 500

/** Limits on the load that all entries together may put on backend servers. */
export function tolerancesOf ({ tolerances }: Settings): Tolerances {
  return {
    retry: { ratio: tolerances.retryRatio, slack: tolerances.retrySlack, windowMs: tolerances.retryWindowSeconds * MS_PER_SECOND },
    cold: { overage: tolerances.coldOverage, slack: tolerances.coldSlack }
  }
}

/** Time after which keys that an entry could not confirm are not served any more, in milliseconds; Infinity if they are. */
export function revokeMsOf ({ customers: { strictRevoke, revokeMs } }: Settings): number {
  return strictRevoke ? Math.max(0, revokeMs - REVOKE_MARGIN_MS) : Infinity
}

/** Bounds of what a new software version gets; undefined in a deployment that orders no roll-outs. */
export function exposureOf ({ rollouts: { exposureShare: share, exposureSlack: slack } }: Settings): ExposureLimit | undefined {
  return share === undefined ? undefined : { share, slack }
}
