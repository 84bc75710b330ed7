/** A caller sends a withdrawal with many headers, its Content-Length behind them, as the HTTP client of Node.js orders them. */
import { connect } from 'node:net'
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { configuration, HAS_TROUBLE, route, runCase } from '../case-2.mjs'
import { callControl } from '../fleet-2.mjs'
import { digest, Instance } from '../instance-2.mjs'

const KEY = 'key-of-the-curators-0001'
const REQUESTS = 6
const USUAL_HEADERS = 20
const MANY_HEADERS = 105

await runCase(dirname(fileURLToPath(import.meta.url)), {}, async ({ fleet, record, onEnd }) => {
  const document = configuration(1, {
    tenants: [{ name: 'curators', 'api-keys': [KEY], priority: 1, 'rate-per-s': 0, burst: 0 }],
    routes: [route('withdraw', '/withdraw/', 'withdrawals', 'unsafe')]
  })
  const put = await callControl(fleet.controlAddresses, 'POST', '/-/Config.Put', document, { until: Date.now() + 30_000 })
  if (put.status !== 200) throw new Error(`the configuration was not acknowledged: ${put.status}`)
  const instances = [0, 1].map((index) => new Instance({
    id: `i-withdraw-${index}`, service: 'withdrawals', ip: `${fleet.network}.${100 + index}`, zone: `zone-${index}`, controlAddresses: fleet.controlAddresses, record
  }))
  for (const instance of instances) {
    await instance.start()
    onEnd(() => instance.stop())
  }
  if (!await fleet.whenReady()) throw new Error('the entries did not become ready')
  await new Promise((resolve) => setTimeout(resolve, 2_000))
  const sent = new Map()
  for (let index = 0; index < REQUESTS; index += 1) {
    const id = `attempt-${index}-${process.pid}`
    const body = Buffer.from(JSON.stringify({ lot: 'quinoa-4711', grams: 250, order: id }))
    sent.set(id, body)
    const entry = fleet.front[index % fleet.front.length]
    record({ kind: 'sent', id, bodyBytes: body.length, bodyDigest: digest(body), headers: HAS_TROUBLE ? MANY_HEADERS : USUAL_HEADERS, entry: entry.name })
    const text = await send(fleet.callersOf(entry), id, body, HAS_TROUBLE ? MANY_HEADERS : USUAL_HEADERS)
    record({ kind: 'answered', id, status: text.split('\r\n', 1)[0] })
  }
  const runs = instances.flatMap(({ runs }) => runs)
  if (!HAS_TROUBLE && runs.length !== REQUESTS) throw new Error(`only ${runs.length} requests ran`)
  return runs.filter(({ id, bodyDigest }) => sent.has(id) && bodyDigest !== digest(sent.get(id)))
    .map(({ id, bodyBytes, instance }) => ({ rule: 'UNASKED', id, instance, sentBytes: sent.get(id).length, runWithBytes: bodyBytes }))
})

/** Sends one request, whose last header is Content-Length, and resolves with the answer. */
function send ({ host, port }, id, body, headers) {
  const lines = [
    'POST /withdraw/lot HTTP/1.1', 'Host: vault.example', `X-Attempt-Id: ${id}`, 'X-Deadline-Ms: 5000', `X-Api-Key: ${KEY}`, 'Content-Type: application/json'
  ]
  while (lines.length < headers) lines.push(`X-Trace-${lines.length}: ${lines.length}`)
  lines.push('Connection: close', `Content-Length: ${body.length}`)
  return new Promise((resolve, reject) => {
    const socket = connect({ host, port })
    let answer = ''
    socket.setTimeout(8_000, () => socket.destroy())
    socket.on('data', (chunk) => { answer += chunk.toString('latin1') })
    socket.on('close', () => resolve(answer))
    socket.on('error', reject)
    socket.write(`${lines.join('\r\n')}\r\n\r\n`)
    socket.write(body)
  })
}
