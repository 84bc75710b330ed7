/** HTTP endpoint from which Prometheus scrapes the metrics. */
import { createServer, type Server } from 'node:http'
import { splitAddress } from '@hickoryspoke/runtime/address'
import { describeError } from '@hickoryspoke/runtime/failure'
import type { Logger } from './logger.ts'
import type { Metrics } from './metrics.ts'

const METRICS_PATH = '/metrics'
/** Connections of the programs that scrape. */
const MAXIMUM_CONNECTIONS = 16

/** Serves `/metrics` on an `IP:PORT`. If the port cannot be bound, logs the error and leaves the process running without metrics. */
export function serveMetrics (address: string, metrics: Metrics, logger: Logger): Server {
  const server = createServer((request, response) => {
    if (request.url !== METRICS_PATH) {
      response.writeHead(404).end()
      return
    }
    metrics.expose().then((text) => {
      response.writeHead(200, { 'Content-Type': 'text/plain; version=0.0.4' }).end(text)
    }, (thrown: unknown) => {
      logger.error('metrics could not be collected', { reason: describeError(thrown) })
      response.writeHead(500).end()
    })
  })
  server.maxConnections = MAXIMUM_CONNECTIONS
  const { host, port } = splitAddress(address)
  server.on('error', (error) => logger.error('metrics server failed', { address, reason: describeError(error) }))
  server.listen(port, host)
  return server
}
