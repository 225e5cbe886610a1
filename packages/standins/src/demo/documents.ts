/** Sample configuration documents in the sizes of two deployments. */
import { validateDocument, type Document } from '@gooseberryspan/core'

/** The Trust's deployment: three zones and four services. */
export function trustDocument (): Document {
  const zones = ['west-1', 'west-2', 'west-3'].map((name) => ({ name, region: 'western', state: 'in' }))
  const base = { connections: 200 }
  return validateDocument({
    zones,
    services: [
      { ...base, name: 'standing-allocations', path: '/allocations', kinds: [readKind('check-allocation', 1)] },
      { ...base, name: 'order-booking', path: '/orders', kinds: [readKind('check-order', 2), writeKind('place-order', 5)] },
      { ...base, name: 'delivery-sheets', path: '/sheets', kinds: [readKind('read-sheet', 1), writeKind('upload-sheet', 3)] },
      { ...base, name: 'returns-ledger', path: '/returns', kinds: [readKind('check-return', 1), writeKind('book-return', 3)] }
    ]
  })
}

/** Ruta Verde's deployment: three zones and four services; its servers have three slots each. */
export function rutaVerdeDocument (): Document {
  const zones = ['central-1', 'central-2', 'central-3'].map((name) => ({ name, region: 'central', state: 'in' }))
  const base = { connections: 250 }
  return validateDocument({
    zones,
    services: [
      { ...base, name: 'status-lookup', path: '/status', kinds: [readKind('check-status', 1)] },
      { ...base, name: 'reclaim-submission', path: '/reclaims', kinds: [writeKind('submit-reclaim', 5)] },
      { ...base, name: 'invoice-intake', path: '/invoices', kinds: [writeKind('upload-invoice', 3)] },
      { ...base, name: 'statement-retrieval', path: '/statements', kinds: [readKind('read-statement', 1)] }
    ]
  })
}

function readKind (name: string, weight: number) {
  return { name, methods: ['GET'], idempotent: true, deadlineMs: 2000, targetMs: 200, weight }
}

function writeKind (name: string, weight: number) {
  return { name, methods: ['POST'], idempotent: false, deadlineMs: 4000, targetMs: 400, weight }
}
