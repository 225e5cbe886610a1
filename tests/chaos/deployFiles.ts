/** The start command and the settings of an entry, as the deploy file states them. */
import { readFileSync } from 'node:fs'
import { join } from 'node:path'

/** Values that the platform fills into the settings template. */
export type TemplateFields = Record<string, unknown>

/** Returns the command of the deploy file. */
export function entryCommand (root: string): string[] {
  const run = /^run = "(.*)"$/m.exec(readFileSync(join(root, 'deploy/system.toml'), 'utf8'))![1]!
  return run.split(' ').map((word, index) => index === 0 && word === 'node' ? process.execPath : word)
}

/** Fills in the placeholders `{{a.b}}` and `{{a.b|json}}` of the settings template. */
export function fillTemplate (root: string, fields: TemplateFields): string {
  return readFileSync(join(root, 'deploy/entry.yaml'), 'utf8').replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, name: string, json?: string) => {
    let value: unknown = fields
    for (const part of name.split('.')) value = (value as TemplateFields | undefined)?.[part]
    if (json) return JSON.stringify(value ?? null)
    return value === undefined ? '' : String(value)
  })
}
