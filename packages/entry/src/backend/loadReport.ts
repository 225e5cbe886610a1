/** The load header and the health endpoint of backend servers. */
import type { LoadReport } from '@gooseberryspan/core'

/** Reads `epoch=a1;capacity=2;draining=0`. Unknown and malformed parts are passed over: a report is a hint. */
export function parseLoad (text: string | undefined): LoadReport | undefined {
  if (text === undefined) return undefined
  const report: LoadReport = {}
  for (const part of text.split(';')) {
    const [name, value] = part.trim().split('=', 2)
    if (value === undefined) continue
    if (name === 'epoch') report.epoch = value
    if (name === 'draining') report.draining = value === '1'
    if (name === 'capacity' && /^\d{1,6}$/.test(value)) report.capacity = Number(value)
  }
  return report
}
