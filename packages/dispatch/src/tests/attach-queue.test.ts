import { FakeClock } from '@hickoryspoke/testing/fake-clock'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { AttachQueue } from '../attach-queue.ts'

const ATTACH_MILLISECONDS = 2

/** A queue whose clients take some time each to attach, and which works only when the test lets a turn pass. */
function createQueue () {
  const clock = FakeClock.create()
  const told: string[] = []
  let next: (() => void) | undefined
  const queue = AttachQueue.create({ clock, defer: (task) => { next = task } })
  const arrive = (name: string) => {
    const client = {
      isClosed: false,
      open: () => {
        clock.advance(ATTACH_MILLISECONDS)
        told.push(name)
      },
      wait: () => { told.push(`${name} waits`) }
    }
    queue.add(client)
    return client
  }
  const turn = (): string[] => {
    const task = next
    next = undefined
    task?.()
    return told.splice(0)
  }
  return { clock, queue, arrive, turn }
}

test('a client is attached in a later turn than the one in which it arrived', () => {
  const { arrive, turn } = createQueue()
  arrive('one')
  assert.equal(turn(), [])
  turn()
  assert.equal([...turn(), ...turn()], ['one'])
})

// Guards against a leader that is kept busy by clients that have given up waiting for it (SHORT).
test('a client that left in the turn after its arrival is passed over', () => {
  const { queue, arrive, turn } = createQueue()
  const client = arrive('one')
  assert.equal(turn(), [])
  client.isClosed = true
  for (let step = 0; step < 5; step += 1) assert.equal(turn(), [])
  assert.is(queue.length, 0)
})

// Guards against a leader that accepts the last of many clients only after they have given up (SHORT).
test('clients wait while others arrive in each turn, for a bounded time', () => {
  const { clock, arrive, turn } = createQueue()
  for (let index = 0; index < 50; index += 1) {
    arrive(`client ${index}`)
    assert.equal(turn(), [])
    clock.advance(1)
  }
  clock.advance(200)
  arrive('last')
  assert.is(turn()[0], 'client 0')
})

test('clients are attached in order of arrival, a few in a turn', () => {
  const { arrive, turn } = createQueue()
  const names = Array.from({ length: 9 }, (_, index) => `client ${index}`)
  for (const name of names) arrive(name)
  const turns = Array.from({ length: 12 }, turn)
  assert.equal(turns.flat(), names)
  assert.ok(Math.max(...turns.map((attached) => attached.length)) <= 2, 'a turn is short')
})

// Guards against clients that give up a leader which has not forgotten them (SHORT).
test('a client that waits for long is told so at intervals', () => {
  const { clock, arrive, turn } = createQueue()
  for (let index = 0; index < 3; index += 1) arrive(`client ${index}`)
  turn()
  turn()
  clock.advance(500)
  assert.equal(turn(), ['client 0', 'client 1', 'client 2 waits'])
  assert.equal(turn(), ['client 2'])
})

test.run()
