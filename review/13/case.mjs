/** One instance answers without end, in small chunks; the entry runs out of memory and takes all requests with it. */
import { Agent, request } from 'node:http'
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { CannotRun, runCase, sleep } from '../fleet-3.mjs'
import { configuration, Instance, route } from '../instance-3.mjs'

const CLIENTS = 16
const PLAY_SECONDS = 25
const DEADLINE_MILLISECONDS = 6_000
/** 10,000 chunks of one byte. */
const PIECE = Buffer.from('1\r\na\r\n'.repeat(10_000))
/** 300 kB a second for each response. */
const PIECE_MILLISECONDS = 200
/** The rule allows three. */
const ALLOWED = 3

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ journal, trouble, begin }) => {
  const fleet = await begin({ fronts: 1 })
  const [front] = fleet.fronts
  const document = configuration(1, { services: ['despachos'], routes: [route('/dispatch/', 'despachos', 'unsafe')] })
  if (await fleet.publish(document) !== 200) throw new CannotRun('the configuration was not accepted')
  const runs = new Map()
  for (let index = 0; index < 4; index += 1) {
    const id = `i-${index}`
    const isFaulty = trouble && index === 0
    const onRun = (attempt) => { runs.set(attempt, { id, isFaulty }) }
    await Instance.start(fleet, { service: 'despachos', id, work: 400, onRun, ...(isFaulty ? { answer: answerWithoutEnd } : {}) })
  }
  await fleet.untilReady()
  await sleep(4_000)
  front.child.once('exit', restart)
  function restart () {
    if (!front.isWanted) return
    setTimeout(() => {
      if (!front.isWanted) return
      front.start(false)
      front.child.once('exit', restart)
    }, 500)
  }

  const end = journal.now + PLAY_SECONDS
  const results = []
  await Promise.all(Array.from({ length: CLIENTS }, async (_, client) => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 })
    for (let number = 0; journal.now < end; number += 1) {
      const id = `c${client}n${number}`
      journal.write(`${id} sent`)
      const result = await send(agent, front.ip, fleet.ports.front, id)
      journal.write(`${id}: ${result.end}${result.isKept ? ', on a kept connection' : ''}`)
      results.push({ id, ...result })
      if (result.end !== 'answered 200') await sleep(200)
    }
    agent.destroy()
  }))
  const lost = results.filter(({ id, end, isKept }) => end === 'closed' && isKept && runs.get(id)?.isFaulty === false)
  const answered = results.filter(({ end }) => end === 'answered 200').length
  journal.write(`the front's last words: ${front.lines.filter((line) => line.includes('FATAL')).join(' ')}`)
  const text = `${results.length} requests, ${answered} answered; the front ended by itself ${front.ends} times; ` +
    `${lost.length} requests from kept connections were run by a sound instance and their connection was closed without an answer`
  return { broken: lost.length > ALLOWED, text: `${lost.length > ALLOWED ? 'BROKEN' : 'held'}: ${text}` }
})

/** Sends a response whose body never ends, until its connection is closed. */
function answerWithoutEnd (_, response) {
  const { socket } = response
  response.writeHead(200)
  response.flushHeaders()
  const timer = setInterval(() => {
    if (socket.destroyed) return clearInterval(timer)
    if (socket.writableLength < PIECE.length) socket.write(PIECE)
  }, PIECE_MILLISECONDS)
}

function send (agent, host, port, id) {
  return new Promise((resolve) => {
    const headers = { host: 'seeds.example', 'x-attempt-id': id, 'x-deadline-ms': String(DEADLINE_MILLISECONDS), 'content-length': 4 }
    const call = request({ agent, host, port, method: 'POST', path: `/dispatch/${id}`, headers })
    const finish = (end) => {
      clearTimeout(timer)
      resolve({ end, isKept: call.reusedSocket })
    }
    const timer = setTimeout(() => {
      finish('given up at the deadline')
      call.destroy()
    }, DEADLINE_MILLISECONDS)
    call.on('error', (error) => finish(error.code === 'ECONNREFUSED' ? 'refused' : 'closed'))
    call.on('response', (response) => {
      response.on('error', () => finish('closed'))
      response.on('end', () => finish(`answered ${response.statusCode}`))
      response.resume()
    })
    call.end('lots')
  })
}
