/** The default dialect, used when no platform provides another. The settings configure the prefix of its header names. */
import type { LoadReport, Member } from '@gooseberryspan/core'
import type { AddressQuery, Dialect, DialectHeaders, DialectPaths } from './dialect.js'

const LOAD_FIELDS = ['running', 'waiting', 'slots', 'pace'] as const

/** The header names and formats that `docs/backend-contract.md` and `docs/operators/callers.md` describe. */
export class DefaultDialect implements Dialect {
  readonly headers: DialectHeaders
  readonly paths: DialectPaths = { ready: '/readyz', addresses: '/v1/addresses' }
  readonly requiresSignature = false
  readonly keyScheme = 'Bearer'

  constructor (readonly prefix: string) {
    this.headers = {
      requestId: `${prefix}-request-id`,
      deadline: `${prefix}-deadline-ms`,
      expectServer: `${prefix}-expect-server`,
      serverId: `${prefix}-server`,
      load: `${prefix}-load`,
      notRun: `${prefix}-not-run`,
      leaving: `${prefix}-leaving`,
      limit: `${prefix}-limit`,
      cold: `${prefix}-cold-ms`,
      retryAfter: 'retry-after',
      customer: `${prefix}-customer`,
      outcome: `${prefix}-outcome`,
      reason: `${prefix}-reason`,
      kind: `${prefix}-kind`,
      service: `${prefix}-service`,
      depth: `${prefix}-depth`,
      retry: `${prefix}-retry`
    }
  }

  /** Reads `running=1;waiting=0;slots=2;pace=1.0`. Returns undefined if a required part is missing or malformed. */
  parseLoadReport (text: string): LoadReport | undefined {
    const values = new Map<string, number>()
    for (const part of text.split(';')) {
      const [name, value] = part.trim().split('=', 2)
      if (name !== undefined && value !== undefined && /^\d{1,6}(\.\d{1,6})?$/.test(value)) values.set(name, Number(value))
    }
    const [running, waiting, slots, pace = 1] = LOAD_FIELDS.map((field) => values.get(field))
    if (running === undefined || waiting === undefined || slots === undefined || slots < 1 || pace <= 0) return undefined
    return { running, waiting, slots, pace }
  }

  parseAddressQuery (query: URLSearchParams): AddressQuery {
    return { zone: query.get('zone') ?? undefined, service: query.get('service') ?? undefined }
  }

  formatAddressAnswer (members: readonly Member[], keepSeconds: number, { service }: AddressQuery): unknown {
    const addresses = members.map(({ instance, host, port, zone }) => ({ instance, host, port, zone }))
    return { service, addresses, keepMs: keepSeconds * 1000 }
  }
}
