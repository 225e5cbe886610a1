/** Generates the settings reference from the schemas. */
import * as z from 'zod'
import { documentSchema } from '@gooseberryspan/core'
import { settingsSchema } from '@gooseberryspan/entry'

/** The fields of a JSON schema that the reference shows. */
interface SchemaNode {
  type?: string
  description?: string
  default?: unknown
  enum?: unknown[]
  minimum?: number
  maximum?: number
  properties?: Record<string, SchemaNode>
  required?: string[]
  items?: SchemaNode
}

/** The bound, positive or negative, that a generated JSON schema has for an integer without a declared bound. */
const UNBOUNDED = Number.MAX_SAFE_INTEGER

/** Returns the page as Markdown. */
export function settingsReference (): string {
  return [
    '# Settings reference',
    '',
    'Written by `npm run reference` from the schemas; a test keeps them together.',
    '',
    '## Settings of an entry',
    '',
    ...settingsTable(z.toJSONSchema(settingsSchema, { io: 'input' }) as SchemaNode),
    '',
    '## The configuration document',
    '',
    ...settingsTable(z.toJSONSchema(documentSchema, { io: 'input' }) as SchemaNode),
    ''
  ].join('\n')
}

function settingsTable (schema: SchemaNode): string[] {
  return ['| name | values | default | meaning |', '|---|---|---|---|', ...settingRows(schema, '')]
}

function settingRows (schema: SchemaNode, path: string): string[] {
  const tableRows: string[] = []
  for (const [name, property] of Object.entries(schema.properties ?? {})) {
    const settingPath = path === '' ? name : `${path}.${name}`
    const objectNode = property.type === 'array' && property.items?.properties ? property.items : property
    if (objectNode.properties) {
      tableRows.push(...settingRows(objectNode, objectNode === property ? settingPath : `${settingPath}[]`))
      continue
    }
    const requiredText = schema.required?.includes(name) ? 'required' : ''
    const defaultText = property.default === undefined ? requiredText : `\`${JSON.stringify(property.default)}\``
    tableRows.push(`| \`${settingPath}\` | ${describeValues(property)} | ${defaultText} | ${property.description ?? ''} |`)
  }
  return tableRows
}

function describeValues (schema: SchemaNode): string {
  if (schema.enum) return schema.enum.map((value) => `\`${String(value)}\``).join(', ')
  if (schema.type === 'array') return `list of ${schema.items ? describeValues(schema.items) : 'values'}`
  const bounds = [schema.minimum, schema.maximum].map((bound) => bound === undefined || Math.abs(bound) === UNBOUNDED ? '' : String(bound))
  const type = schema.type === 'integer' ? 'whole number' : schema.type ?? 'text'
  return bounds.join('') === '' ? type : `${type}, ${bounds[0] || 'any'} to ${bounds[1] || 'any'}`
}
