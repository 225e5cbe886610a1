/** The settings reference, written from the schemas. */
import * as z from 'zod'
import { documentSchema } from '@gooseberryspan/core'
import { settingsSchema } from '@gooseberryspan/entry'

/** The part of a JSON schema that is shown. */
interface Shape {
  type?: string
  description?: string
  default?: unknown
  enum?: unknown[]
  minimum?: number
  maximum?: number
  properties?: Record<string, Shape>
  required?: string[]
  items?: Shape
}

/** Smallest and largest whole numbers that JSON schema gives where nothing is declared. */
const UNBOUNDED = Number.MAX_SAFE_INTEGER

/** The whole page. */
export function settingsReference (): string {
  return [
    '# Settings reference',
    '',
    'Written by `npm run reference` from the schemas; a test keeps them together.',
    '',
    '## Settings of an entry',
    '',
    ...table(z.toJSONSchema(settingsSchema, { io: 'input' }) as Shape),
    '',
    '## The configuration document',
    '',
    ...table(z.toJSONSchema(documentSchema, { io: 'input' }) as Shape),
    ''
  ].join('\n')
}

function table (shape: Shape): string[] {
  return ['| name | values | default | meaning |', '|---|---|---|---|', ...rows(shape, '')]
}

function rows (shape: Shape, path: string): string[] {
  const found: string[] = []
  for (const [name, part] of Object.entries(shape.properties ?? {})) {
    const here = path === '' ? name : `${path}.${name}`
    const inner = part.type === 'array' && part.items?.properties ? part.items : part
    if (inner.properties) {
      found.push(...rows(inner, inner === part ? here : `${here}[]`))
      continue
    }
    const need = shape.required?.includes(name) ? 'required' : ''
    const preset = part.default === undefined ? need : `\`${JSON.stringify(part.default)}\``
    found.push(`| \`${here}\` | ${valuesOf(part)} | ${preset} | ${part.description ?? ''} |`)
  }
  return found
}

function valuesOf (part: Shape): string {
  if (part.enum) return part.enum.map((value) => `\`${String(value)}\``).join(', ')
  if (part.type === 'array') return `list of ${part.items ? valuesOf(part.items) : 'values'}`
  const bounds = [part.minimum, part.maximum].map((bound) => bound === undefined || Math.abs(bound) === UNBOUNDED ? '' : String(bound))
  const type = part.type === 'integer' ? 'whole number' : part.type ?? 'text'
  return bounds.join('') === '' ? type : `${type}, ${bounds[0] || 'any'} to ${bounds[1] || 'any'}`
}
