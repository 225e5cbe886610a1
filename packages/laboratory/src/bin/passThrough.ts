#!/usr/bin/env node
/** The bare pass-through as a process, for `measure -- path`. */
import { Command } from 'commander'
import { passThrough } from '../load/passThrough.js'

const options = new Command('pass-through')
  .requiredOption('--backend <port>', 'port of the backend server')
  .option('--port <port>', 'port to listen on', '7100')
  .parse().opts<{ backend: string, port: string }>()

passThrough('127.0.0.1', Number(options.backend)).listen(Number(options.port), '127.0.0.1')
