/** An operator whose first configuration has the version 0. */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { configuration, HAS_TROUBLE, route, runCase } from '../case-2.mjs'
import { callControl, delay } from '../fleet-2.mjs'

const FIRST_VERSION = HAS_TROUBLE ? 0 : 1
const CONTACT_MILLISECONDS = 3_000

await runCase(dirname(fileURLToPath(import.meta.url)), {}, async ({ fleet, record }) => {
  const document = configuration(FIRST_VERSION, { routes: [route('withdraw', '/withdraw/', 'withdrawals', 'unsafe')] })
  const put = await callControl(fleet.controlAddresses, 'POST', '/-/Config.Put', document, { until: Date.now() + 30_000 })
  record({ kind: 'put', version: FIRST_VERSION, status: put.status, node: put.node })
  if (put.status !== 200) {
    // To refuse it would be a clear answer.
    if (put.status >= 400 && put.status < 500 && HAS_TROUBLE) return []
    throw new Error(`the configuration was not acknowledged: ${put.status}`)
  }
  // The operator asks for longer than `contact`, at every node in turn.
  const answers = []
  const end = Date.now() + 3 * CONTACT_MILLISECONDS
  while (Date.now() < end) {
    const got = await callControl(fleet.controlAddresses, 'GET', '/-/Config.Get', undefined, { until: Date.now() + 2_000, isDone: ({ status }) => status === 200 })
    answers.push(got.status)
    record({ kind: 'get', status: got.status, node: got.node, body: String(got.body ?? '').slice(0, 60) })
    if (got.status === 200 && got.body.equals(Buffer.from(document))) return []
    await delay(200)
  }
  return [{ rule: 'CONFIG', acknowledgedVersion: FIRST_VERSION, readBack: [...new Set(answers)] }]
})
