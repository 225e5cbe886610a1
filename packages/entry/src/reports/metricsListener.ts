/** Serves metrics over HTTP. */
import type { RequestListener } from 'node:http'
import type { PrometheusMetrics } from './prometheusMetrics.js'

export const METRICS_PATH = '/metrics'

/** Creates the request handler of the metrics port. */
export function metricsListener ({ registry }: PrometheusMetrics): RequestListener {
  return (request, response) => {
    if (request.url?.split('?', 1)[0] !== METRICS_PATH) return void response.writeHead(404).end()
    registry.metrics().then((text) => {
      response.writeHead(200, { 'content-type': registry.contentType })
      response.end(text)
    }).catch(() => response.writeHead(500).end())
  }
}
