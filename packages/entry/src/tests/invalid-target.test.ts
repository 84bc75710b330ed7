import { connect } from 'node:net'
import { okResponse } from '@hickoryspoke/testing/raw-upstream'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { statusOf, until } from './caller-fixture.ts'
import { withUpstreams } from './scripted-upstreams.ts'

// Guards against a caller whose path cannot be sent on: its upstream counted as out of reach, and other requests were refused for that.
for (const [name, target] of [['a tab', '/a\tb'], ['a form feed', '/a\fb']] as const) {
  test(`a request whose path has ${name} is refused, and its upstream is not asked nor blamed`, async () => {
    await withUpstreams([(socket) => { socket.write(okResponse('served')) }], async (play) => {
      const socket = connect(play.entry.port, '127.0.0.1')
      let received = ''
      socket.on('data', (chunk) => { received += chunk.toString('latin1') })
      socket.write(`GET ${target} HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n\r\n`)
      await until(() => received.includes('\r\n\r\n'))
      socket.destroy()
      assert.is(statusOf(received), 400)
      assert.equal(play.entry.ends, [])
      assert.is(play.upstreams[0]?.connections, 0)
      play.caller.get('/')
      await until(() => play.caller.isAnswered)
      assert.equal(play.caller.responses.map((response) => response.status), [200])
    })
  })
}

test.run()
