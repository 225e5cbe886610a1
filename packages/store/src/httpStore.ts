/** Store client over HTTP, for any store protocol. */
import type { StoredRow } from '@gooseberryspan/core'
import { StoreRefused, StoreUnavailable } from './errors.js'
import type { HttpResponse, HttpClient } from './httpClient.js'
import { formatRowName, type StatusMeaning, type StoreCall, type StoreProtocol } from './protocol.js'
import type { ChangesResult, TableSnapshot, RowName, Store, Transaction, TransactionResult } from './store.js'

/** An HTTP response and the meaning of its status. */
interface InterpretedResponse extends HttpResponse {
  meaning: StatusMeaning
  /** Era of the store; undefined if the response does not state one. */
  era: number | undefined
}

/** Maximum number of pages read of one table, so that a faulty store that always announces more rows cannot cause an endless loop. */
const MAX_PAGES = 1000

/** A whole number that a double represents exactly. */
const ERA_PATTERN = /^\d{1,15}$/

/** Sends the calls of a store protocol over one connection pool. */
export class HttpStore implements Store {
  private readonly _client: HttpClient
  private readonly _protocol: StoreProtocol

  constructor (client: HttpClient, protocol: StoreProtocol) {
    this._client = client
    this._protocol = protocol
  }

  /** Later pages may contain newer rows. Returns the version of the first page, so that changes made since then are read again. */
  async readAll (table: string): Promise<TableSnapshot> {
    const rows = new Map<string, StoredRow>()
    let version: number | undefined
    let era: number | undefined
    let from: string | undefined
    for (let count = 0; count < MAX_PAGES; count++) {
      const answer = await this._send(this._protocol.rows(table, { from }))
      const page = this._parse(answer, () => this._protocol.readPage(answer.text))
      if (version !== undefined && answer.era !== era) throw new StoreUnavailable('the store was restored while %s was read', table)
      era = answer.era
      version ??= page.version
      for (const row of page.rows) rows.set(row.key, row)
      const last = page.rows.at(-1)?.key
      if (!page.more || last === undefined || last === from) return { rows: [...rows.values()], version, era }
      from = last
    }
    throw new StoreUnavailable('table %s has no end', table)
  }

  async readRow (name: RowName): Promise<StoredRow | undefined> {
    const page = this._protocol.readPage(await this._fetchText(this._protocol.rows(name.table, { from: name.key, limit: 1 })))
    const row = page.rows[0]
    return row?.key === name.key && row.value !== undefined ? row : undefined
  }

  async waitForChanges (table: string, after: number, waitMs: number): Promise<ChangesResult> {
    const answer = await this._send(this._protocol.changes(table, after, waitMs), waitMs)
    if (answer.meaning === 'history-lost') return { kind: 'history-lost', era: answer.era }
    const { rows, version } = this._parse(answer, () => this._protocol.readPage(answer.text))
    return { kind: 'changes', rows, version, era: answer.era }
  }

  async transact (transaction: Transaction): Promise<TransactionResult> {
    const answer = await this._send(this._protocol.transact(transaction))
    if (answer.meaning === 'conflict') return { kind: 'conflict' }
    if (answer.meaning === 'refused') {
      const names = [...transaction.puts, ...transaction.removes].map(formatRowName).join(', ')
      throw new StoreRefused('the store refuses to write %s: %d', names, answer.status)
    }
    return { kind: 'done', version: this._parse(answer, () => this._protocol.readVersion(answer.text)) }
  }

  async putObject (name: string, text: string): Promise<void> {
    const answer = await this._send(this._protocol.putObject(name, text))
    if (answer.meaning !== 'done') throw new StoreUnavailable('object %s: the store answered %d', name, answer.status)
  }

  async getObject (name: string): Promise<string | undefined> {
    const answer = await this._send(this._protocol.getObject(name))
    if (answer.meaning === 'missing') return undefined
    if (answer.meaning !== 'done') throw new StoreUnavailable('object %s: the store answered %d', name, answer.status)
    return answer.text
  }

  private async _fetchText (call: StoreCall): Promise<string> {
    const answer = await this._send(call)
    return this._parse(answer, () => answer.text)
  }

  private async _send (call: StoreCall, waitMs = 0): Promise<InterpretedResponse> {
    const answer = await this._client.send(call.method, call.path, { body: call.body, extraMs: waitMs })
    return { ...answer, meaning: this._protocol.meaningOf(answer.status), era: parseEra(answer.headers[this._protocol.eraHeader]) }
  }

  private _parse<T> (answer: InterpretedResponse, read: () => T): T {
    if (answer.meaning !== 'done') {
      const unavailable = new StoreUnavailable('the store answered %d', answer.status)
      unavailable.isRefusal = answer.meaning === 'unavailable'
      throw unavailable
    }
    try {
      return read()
    } catch (error) {
      throw new StoreUnavailable(error as Error, 'the store answered with another shape')
    }
  }
}

/** Returns the era that a header states, or undefined if there is none or it is not a whole number. */
function parseEra (text: string | string[] | undefined): number | undefined {
  return typeof text === 'string' && ERA_PATTERN.test(text) ? Number(text) : undefined
}
