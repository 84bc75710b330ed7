/** Calls of operators and upstreams to the control processes. */
import { request } from 'node:http'
import { configurationDocument } from './stop-soak-settings.ts'
import { delay } from './process-fleet.ts'

const CALL_TIMEOUT_MILLISECONDS = 1_000
const MAXIMUM_REDIRECTS = 2
const RESEND_MILLISECONDS = 100
const HTTP_OK = 200
const HTTP_REDIRECT = 307

interface CallAnswer {
  readonly status: number
  readonly location: string
}

const NO_ANSWER: CallAnswer = { status: 0, location: '' }

/** Calls a control process and follows its redirects. Status 0 means that no answer arrived. */
export async function callControl (address: string, path: string, body: string): Promise<number> {
  let url = `http://${address}${path}`
  for (let redirects = 0; redirects <= MAXIMUM_REDIRECTS; redirects += 1) {
    const answer = await post(url, body)
    if (answer.status !== HTTP_REDIRECT) return answer.status
    url = answer.location
  }
  return HTTP_REDIRECT
}

/** Sends a call to one control process after the other until one accepts it or the time is over. */
export async function callUntilAccepted (addresses: readonly string[], path: string, body: () => string, limitMilliseconds: number): Promise<boolean> {
  const end = performance.now() + limitMilliseconds
  for (let turn = Math.floor(performance.now()); performance.now() < end; turn += 1) {
    if (await callControl(addresses[turn % addresses.length] ?? '', path, body()) === HTTP_OK) return true
    await delay(RESEND_MILLISECONDS)
  }
  return false
}

/** Publishes a version of the configuration. */
export async function publishVersion (addresses: readonly string[], version: number, limitMilliseconds: number): Promise<boolean> {
  const document = configurationDocument(version)
  return await callUntilAccepted(addresses, '/-/Config.Put', () => document, limitMilliseconds)
}

async function post (url: string, body: string): Promise<CallAnswer> {
  return await new Promise((resolve) => {
    const signal = AbortSignal.timeout(CALL_TIMEOUT_MILLISECONDS)
    const headers = { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) }
    const call = request(url, { method: 'POST', headers, agent: false, signal }, (response) => {
      response.resume()
      response.once('error', () => resolve(NO_ANSWER))
      response.once('end', () => resolve({ status: response.statusCode ?? 0, location: response.headers.location ?? '' }))
    })
    call.once('error', () => resolve(NO_ANSWER))
    call.end(body)
  })
}
