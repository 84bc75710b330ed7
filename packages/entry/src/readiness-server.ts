/** HTTP server that the load balancer asks whether an entry is ready for callers. */
import { createServer, type Server } from 'node:http'

/** Connections of the load balancer's checks. */
const MAXIMUM_READINESS_CONNECTIONS = 64

/** Answers 200 at `path` while the entry is ready, 503 otherwise and elsewhere. */
export function createReadinessServer (path: string, isReady: () => boolean): Server {
  const server = createServer((request, response) => {
    const ready = request.url === path && isReady()
    response.writeHead(ready ? 200 : 503).end()
  })
  server.maxConnections = MAXIMUM_READINESS_CONNECTIONS
  return server
}
