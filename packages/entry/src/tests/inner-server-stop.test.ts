import { connect } from 'node:net'
import { SystemClock } from '@hickoryspoke/runtime/clock'
import { Ok } from 'ts-results-es'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { InnerServer } from '../inner-server.ts'

const BODY = '{"pool":"ledger"}'
const HEAD = `POST /announce HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer token\r\nContent-Length: ${BODY.length}\r\n\r\n`

// Guards against an upstream whose announcement an entry cuts off at the end of its stop.
test('an announcement that is still arriving when the inner server stops is answered', async () => {
  const server = await InnerServer.start('127.0.0.1:0', {
    readiness: () => ({ ready: false, reasons: ['draining'] }),
    metrics: async () => '',
    announce: () => Ok(undefined),
    withdraw: () => Ok(undefined)
  }, SystemClock.create())
  const [host = '', port = ''] = server.address.split(':')
  const socket = connect(Number(port), host)
  let received = ''
  socket.on('error', () => {})
  socket.on('data', (chunk) => { received += String(chunk) })
  const closed = new Promise((resolve) => socket.once('close', resolve))
  socket.write(`GET /live HTTP/1.1\r\nHost: entry\r\n\r\n${HEAD}${BODY.slice(0, 5)}`)
  while (!received.includes('live')) await new Promise((resolve) => setTimeout(resolve, 5))
  const stopped = server.stop()
  if (!socket.destroyed) socket.write(BODY.slice(5))
  await closed
  await stopped
  assert.match(received, /"accepted":true/)
})

test.run()
