/** An entry that reaches no instance sends requests through another entry, which is killed while an answer without a length arrives. */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { configuration, HAS_TROUBLE, route, runCase } from '../case-2.mjs'
import { call, callControl, delay } from '../fleet-2.mjs'
import { answer, Instance, signature } from '../instance-2.mjs'

const SLOW_REQUESTS = 8
const ANSWER_BYTES = 4_000
/** The instance sends half of a slow answer at once, and the rest after this time. */
const REST_AFTER_MILLISECONDS = 1_500
const KILL_AFTER_MILLISECONDS = 600
const ROUNDS = 6
/** One service for each round, whose two instances are down for a moment. */
const WITHDRAWALS = Array.from({ length: ROUNDS }, (_, index) => `withdrawals-${index}`)
const METRICS_PORT = 19_464

await runCase(dirname(fileURLToPath(import.meta.url)), {}, async ({ fleet, record, onEnd }) => {
  const [stranded, helper] = fleet.front
  const { controlAddresses, network } = fleet
  const document = configuration(1, {
    services: [...WITHDRAWALS, 'lookups'],
    routes: [...WITHDRAWALS.map((name) => route(name, `/${name}/`, name, 'unsafe')), route('lookup', '/lookup/', 'lookups', 'unsafe')]
  })
  const put = await callControl(controlAddresses, 'POST', '/-/Config.Put', document, { until: Date.now() + 30_000 })
  if (put.status !== 200) throw new Error(`the configuration was not acknowledged: ${put.status}`)
  const common = { controlAddresses, record }
  const withdrawals = WITHDRAWALS.map((service, round) => [0, 1].map((index) => {
    return new Instance({ ...common, id: `i-${service}-${index}`, service, ip: `${network}.${100 + 2 * round + index}`, zone: `zone-${index}` })
  }))
  const lookups = [0, 1, 2].map((index) => new Instance({ ...common, id: `i-lookup-${index}`, service: 'lookups', ip: `${network}.${120 + index}`, zone: `zone-${index}`, respond }))
  for (const instance of [...withdrawals.flat(), ...lookups]) {
    await instance.start()
    onEnd(() => instance.stop())
  }
  if (!await fleet.whenReady()) throw new Error('the entries did not become ready')
  await delay(3_000)
  // The other entry always reaches instances.
  const serving = new AbortController()
  const usual = (async () => {
    for (let index = 0; !serving.signal.aborted; index += 1) {
      await send(fleet, helper, `usual-${index}`, '/lookup/quick').catch(() => {})
      await delay(15)
    }
  })()
  onEnd(() => serving.abort())
  const results = []
  let isKilled = false
  for (let round = 0; round < (HAS_TROUBLE ? ROUNDS : 1) && !isKilled; round += 1) {
    if (HAS_TROUBLE) await strand(fleet, stranded, withdrawals[round], record)
    const slow = Array.from({ length: SLOW_REQUESTS }, async (_, index) => await sendSlow(fleet, stranded, `slow-${round}-${index}`, record))
    await delay(KILL_AFTER_MILLISECONDS)
    if (HAS_TROUBLE && await relayedConnections(helper) > 0) {
      record({ kind: 'killed', process: helper.name })
      helper.child.kill('SIGKILL')
      isKilled = true
    }
    results.push(...await Promise.all(slow))
  }
  serving.abort()
  await usual
  if (HAS_TROUBLE && !isKilled) throw new Error('no request was sent through the other entry')
  if (!HAS_TROUBLE && results.some(({ status }) => status !== 200)) throw new Error('a request was not served')
  return results.filter(({ status, error, body, headers, id }) => {
    return status === 200 && error === undefined && headers['x-response-signature'] === signature(id, bodyOf(id)) && !body.equals(bodyOf(id))
  }).map(({ id, body }) => ({ rule: 'MIXED', id, answeredAsWhole: body.length, wholeBytes: ANSWER_BYTES }))
})

/** Lets the instances of one service be down until the entry takes itself for cut off; a request of another service then goes through the other entry. */
async function strand (fleet, stranded, instances, record) {
  const ports = instances.map(({ address }) => Number(address.split(':')[1]))
  record({ kind: 'down', instances: instances.map(({ id }) => id) })
  for (const { server } of instances) {
    server.close()
    server.closeAllConnections()
  }
  // Is tried at both, upon which the entry takes itself for cut off: the next request tries its own network, those beside it do not.
  await send(fleet, stranded, `down-${instances[0].service}`, `/${instances[0].service}/lot`).catch(() => {})
  await delay(100)
  for (const [index, { server, ip }] of instances.entries()) await new Promise((resolve) => server.listen(ports[index], ip, resolve))
  record({ kind: 'up' })
}

async function sendSlow (fleet, stranded, id, record) {
  record({ kind: 'sent', id, entry: stranded.name })
  const result = await send(fleet, stranded, id, '/lookup/slow', 6_000).catch((error) => ({ status: 0, body: Buffer.alloc(0), error: error.message }))
  record({ kind: 'answered', id, status: result.status, isComplete: result.error === undefined, bodyBytes: result.body.length, signature: result.headers?.['x-response-signature'], error: result.error })
  return { id, ...result }
}

/** Connections that an entry holds for others, as its metrics say. */
async function relayedConnections (entry) {
  const { body } = await call({ host: entry.ip, port: METRICS_PORT, method: 'GET', path: '/metrics' })
  return Number(/^hickoryspoke\S*relayed\S* (\d+)/m.exec(body.toString())?.[1] ?? 0)
}

function send (fleet, entry, id, path, milliseconds = 3_000) {
  return call({ ...fleet.callersOf(entry), method: 'GET', path, headers: { Host: 'vault.example', 'X-Attempt-Id': id, 'X-Deadline-Ms': '5000' }, milliseconds })
}

function bodyOf (id) {
  return Buffer.from(`${id}.`.repeat(ANSWER_BYTES)).subarray(0, ANSWER_BYTES)
}

/** Answers a slow request without a length: half of the body, and the rest later; the answer ends with its connection. */
function respond ({ id, path }, _, response, instance) {
  if (path !== '/lookup/slow') return answer(response, id, Buffer.from('done'))
  const body = bodyOf(id)
  response.shouldKeepAlive = false
  response.removeHeader('Transfer-Encoding')
  response.writeHead(200, { 'X-Attempt-Id': id, 'X-Response-Signature': signature(id, body), Connection: 'close' })
  response.write(body.subarray(0, ANSWER_BYTES / 2))
  setTimeout(() => {
    instance.record({ kind: 'rest', id, isConnected: !response.destroyed })
    response.end(body.subarray(ANSWER_BYTES / 2))
  }, REST_AFTER_MILLISECONDS)
}
