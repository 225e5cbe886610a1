/** Sends requests of callers over kept connections and reports how each ended. */
import { Agent, request } from 'node:http'

export class Callers {
  #agents = new Map()

  /** Sends a request to an entry. Resolves with the status, or 0 if there was no answer. */
  send (entry, { id, path, host, method = 'GET', deadlineMs, key }) {
    const { callers } = entry
    let agent = this.#agents.get(entry)
    if (!agent) this.#agents.set(entry, agent = new Agent({ keepAlive: true, timeout: 10_000 }))
    const headers = { Host: host, 'Request-Id': id, 'Deadline-Ms': deadlineMs, ...(key && { Authorization: `Token ${key}` }) }
    return new Promise((resolve) => {
      const call = request({ ...callers, agent, path, method, headers }, (answer) => {
        answer.resume()
        answer.on('error', () => resolve(0))
        answer.on('close', () => resolve(answer.complete ? answer.statusCode : 0))
      })
      call.setTimeout(deadlineMs, () => call.destroy())
      call.on('error', () => resolve(0))
      call.end()
    })
  }

  /** Forgets the connections to an entry that has ended. */
  forget (entry) {
    this.#agents.get(entry)?.destroy()
    this.#agents.delete(entry)
  }

  close () {
    for (const agent of this.#agents.values()) agent.destroy()
  }
}
