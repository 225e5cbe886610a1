#!/usr/bin/env node
/** Ends with 0 when the entry at a callers' port holds a backend server. */
import { get } from 'node:http'

const WAIT_MS = 1000

const call = get({ host: '127.0.0.1', port: Number(process.argv[2]), path: '/v1/status', timeout: WAIT_MS }, (answer) => {
  let text = ''
  answer.on('data', (part: Buffer) => {
    text += part.toString('utf8')
  })
  answer.on('end', () => process.exit((JSON.parse(text) as { servers: object[] }).servers.length > 0 ? 0 : 1))
})
call.on('timeout', () => process.exit(1))
call.on('error', () => process.exit(1))
