import { Socket } from 'node:net'
import { setImmediate as nextTurn } from 'node:timers/promises'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { JoinedRequest } from '../joined-request.ts'

// Guards against a rest of a body that is not read until more of it comes, so that the next request is never read (CONFIG, review/5).
test('a piece that comes before an earlier one is read can be read together with it', async () => {
  const request = new JoinedRequest(new Socket())
  assert.is(request.read(), null)
  request.push(Buffer.from('first'))
  await nextTurn()
  request.push(Buffer.from('second'))
  await nextTurn()
  let read = ''
  for (let chunk = request.read(); chunk !== null; chunk = request.read()) read += String(chunk)
  assert.is(read, 'firstsecond')
})

test.run()
