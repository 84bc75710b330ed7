import { ClientLimiter, type LimitedConnection, type RequestInWork } from '@hickoryspoke/runtime/client-limiter'
import { MemoryBudget, MemoryUse } from '@hickoryspoke/runtime/memory-budget'
import { controlCapacity, DEFAULT_PROCESS_LIMITS, entryCapacity } from '@hickoryspoke/runtime/process-capacity'
import { FakeClock } from '@hickoryspoke/testing/fake-clock'
import { test } from 'uvu'
import * as assert from 'uvu/assert'

const BUDGET_BYTES = 10_000_000
const STALLED_MILLISECONDS = 1_000

class TestConnection implements LimitedConnection {
  reads = 0
  isClosed = false
  isSuspended = false

  readOn (): void {
    this.reads += 1
  }

  suspend (): void {
    this.isSuspended = true
  }

  isBetweenRequests = true

  closeUnused (): void {
    this.isClosed = true
  }
}

interface Setup {
  readonly clock: FakeClock
  readonly limiter: ClientLimiter
  readonly reports: string[]
}

function setUp (maximumConnections = 3, maximumRequests = 3, heapShare = (): number => 0): Setup {
  const clock = FakeClock.create()
  const reports: string[] = []
  const budget = MemoryBudget.create({ clock, bytes: BUDGET_BYTES, heapShare })
  const limiter = ClientLimiter.create({ clock, maximumConnections, maximumRequests, budget, report: ({ kind }) => reports.push(kind) })
  return { clock, limiter, reports }
}

async function settled (): Promise<void> {
  await new Promise((resolve) => setImmediate(() => setImmediate(resolve)))
}

// Guards against refusals in the wrong order: what is in work must go on when nothing new is taken any more.
test('a budget refuses new connections first, then requests read ahead, then bodies', () => {
  const budget = MemoryBudget.create({ clock: FakeClock.create(), bytes: 100, heapShare: () => 0 })
  const allowed = (): boolean[] => [MemoryUse.Connection, MemoryUse.ReadAhead, MemoryUse.Body].map((use) => budget.allows(use))
  assert.equal(allowed(), [true, true, true])
  budget.count(70)
  assert.equal(allowed(), [false, true, true])
  budget.count(10)
  assert.equal(allowed(), [false, false, true])
  budget.count(10)
  assert.equal(allowed(), [false, false, false])
  budget.count(-50)
  assert.equal(allowed(), [true, true, true])
})

// Guards against counts that miss what fills the heap.
test('a heap that is nearly full refuses too, until it has been collected', () => {
  const clock = FakeClock.create()
  let share = 0.96
  const budget = MemoryBudget.create({ clock, bytes: 100, heapShare: () => share })
  assert.not(budget.allows(MemoryUse.Body))
  share = 0.5
  clock.advance(100)
  assert.ok(budget.allows(MemoryUse.Connection))
})

// Guards against connections that an entry which is ready closes unread, as garbage that is not collected yet fills its heap (RECOVER).
test('while the heap is nearly full a new connection is not closed, but read only once there is room', async () => {
  let share = 0.96
  const { clock, limiter } = setUp(3, 3, () => share)
  assert.ok(limiter.admitConnection())
  const connection = new TestConnection()
  limiter.connectionOpened(connection)
  assert.ok(connection.isSuspended)
  assert.is(limiter.shed.connection, 0)
  share = 0.5
  clock.advance(100)
  await settled()
  assert.is(connection.reads, 1)
})

// Guards against limits that leave no descriptors, or that callers within their limits reach.
test('the limits of a process leave descriptors for everything that is not limited', () => {
  for (const descriptors of [240, 4_100, 10_250]) {
    const { callerConnections, upstreamConnections, relayedConnections } = entryCapacity({ descriptors, megabytes: 250 })
    assert.ok(callerConnections + upstreamConnections + 2 * relayedConnections < descriptors)
    assert.ok(controlCapacity({ descriptors, megabytes: 346 }).callerConnections <= descriptors / 2)
  }
  const smallest = entryCapacity({ descriptors: 4_100, megabytes: 250 })
  assert.ok(smallest.callerConnections >= 20 * 10 && smallest.requests >= 700)
  assert.ok(smallest.heldBytes >= 64 * 1_048_576)
  assert.ok(controlCapacity(DEFAULT_PROCESS_LIMITS).heldBytes * 0.9 > 33_554_432, 'the largest document is accepted')
})

test('connections beyond the limit are refused, and one that closes makes room', () => {
  const { limiter, reports } = setUp()
  const connections = [1, 2, 3].map(() => new TestConnection())
  for (const connection of connections) {
    assert.ok(limiter.admitConnection())
    limiter.connectionOpened(connection)
  }
  assert.not(limiter.admitConnection())
  assert.is(limiter.shed.connection, 1)
  limiter.connectionClosed(connections[0] as TestConnection)
  assert.ok(limiter.admitConnection())
  assert.equal(reports, ['connection'])
})

// Guards against idle connections that keep ordinary callers out.
test('at the limit the oldest connection without a request is closed for a new one', () => {
  const { clock, limiter } = setUp()
  const connections = [1, 2, 3].map(() => new TestConnection())
  for (const connection of connections) limiter.connectionOpened(connection)
  limiter.requestBegun(connections[0] as TestConnection)
  clock.advance(600)
  assert.ok(limiter.admitConnection())
  assert.equal(connections.map(({ isClosed }) => isClosed), [false, true, false])
  assert.is(limiter.shed.silent_connection, 1)
})

/** Connections each of which has sent one request, 100 ms after the one before, that was answered at once. */
function openIdle ({ clock, limiter }: Setup, count: number): TestConnection[] {
  return Array.from({ length: count }, () => {
    const connection = new TestConnection()
    limiter.connectionOpened(connection)
    limiter.requestEnded(limiter.requestBegun(connection))
    limiter.connectionIdle(connection)
    clock.advance(100)
    return connection
  })
}

// Guards against connections that have sent one request, stay idle, and keep out all other clients (RECOVER).
test('at the limit the connection that has been idle longest is closed for a new one', () => {
  const scene = setUp()
  const { clock, limiter } = scene
  const connections = openIdle(scene, 3)
  assert.not(limiter.admitConnection())
  clock.advance(300)
  limiter.requestBegun(connections[0] as TestConnection)
  assert.ok(limiter.admitConnection())
  assert.equal(connections.map(({ isClosed }) => isClosed), [false, true, false])
  assert.is(limiter.shed.idle_connection, 1)
})

// Guards against a close that crosses a request which is on its way.
test('an idle connection on which a request begins to arrive does not give way at first', () => {
  const scene = setUp()
  const { clock, limiter } = scene
  const connections = openIdle(scene, 3)
  for (const connection of connections.slice(0, 2)) connection.isBetweenRequests = false
  clock.advance(1_000)
  assert.ok(limiter.admitConnection())
  assert.equal(connections.map(({ isClosed }) => isClosed), [false, false, true])
  assert.not(limiter.admitConnection())
  clock.advance(3_000)
  assert.ok(limiter.admitConnection())
  assert.equal(connections.map(({ isClosed }) => isClosed), [true, false, true])
})

// Guards against an entry that says it is ready and takes no new connection for seconds.
test('a server whose connections are all in use is full after some time, and no longer once one can give way', () => {
  const scene = setUp()
  const { clock, limiter } = scene
  const connections = openIdle(scene, 3)
  const inWork = connections.map((connection) => limiter.requestBegun(connection))
  assert.not(limiter.isFull())
  clock.advance(900)
  assert.not(limiter.isFull())
  clock.advance(100)
  assert.ok(limiter.isFull())
  limiter.requestEnded(inWork[0] as RequestInWork)
  limiter.connectionIdle(connections[0] as TestConnection)
  clock.advance(500)
  assert.not(limiter.isFull())
})

test('a connection waits while as many requests as allowed are in work, and reads on when one ends', async () => {
  const { limiter } = setUp(3, 20)
  const [busy, waiting] = [new TestConnection(), new TestConnection()]
  const inWork = Array.from({ length: 20 }, () => limiter.requestBegun(busy))
  assert.ok(limiter.mustWait(waiting, false))
  assert.is(limiter.waitingConnections, 1)
  await settled()
  assert.is(waiting.reads, 0)
  limiter.requestEnded(inWork[0] as RequestInWork)
  await settled()
  assert.is(waiting.reads, 1)
  assert.not(limiter.mustWait(waiting, false))
})

// Guards against input of hundreds of connections that is read before they can be told to wait.
test('connections stop reading once memory is short, and read on a few at a time', async () => {
  const { clock, limiter } = setUp(100, 100)
  const connections = Array.from({ length: 60 }, () => new TestConnection())
  for (const connection of connections) limiter.connectionOpened(connection)
  limiter.hold(BUDGET_BYTES * 0.85)
  assert.ok(connections.every(({ isSuspended }) => isSuspended))
  clock.advance(100)
  await settled()
  assert.is(connections.filter(({ reads }) => reads > 0).length, 16)
  limiter.hold(-BUDGET_BYTES * 0.85)
  await settled()
  assert.ok(connections.every(({ reads }) => reads === 1))
})

// Guards against input that waits for memory which only the requests in it can free.
test('some requests are read whatever is held', () => {
  const { limiter } = setUp(100, 100)
  limiter.hold(2 * BUDGET_BYTES)
  let read = 0
  for (; !limiter.mustWait(new TestConnection(), false); read += 1) limiter.requestBegun(new TestConnection())
  assert.is(read, 16)
})

// Guards against a connection that waits for ever as memory became free without a request that ended.
test('a connection that waits for memory is told to read on once there is some', async () => {
  let share = 0.99
  const { clock, limiter } = setUp(3, 100, () => share)
  const connection = new TestConnection()
  for (let count = 0; count < 16; count += 1) limiter.requestBegun(new TestConnection())
  assert.ok(limiter.mustWait(connection, false))
  clock.advance(200)
  await settled()
  assert.is(connection.reads, 0)
  share = 0.1
  clock.advance(200)
  await settled()
  assert.is(connection.reads, 1)
})

test('a connection with requests in work waits while one without may still read its first', () => {
  const { limiter } = setUp()
  limiter.hold(BUDGET_BYTES * 0.85)
  assert.ok(limiter.mustWait(new TestConnection(), true))
  assert.not(limiter.mustWait(new TestConnection(), false))
})

// Guards against bodies that stopped halfway and keep out others.
test('a body is refused without memory for it, unless another one has stalled', () => {
  const { clock, limiter } = setUp()
  const dropped: string[] = []
  const body = (name: string): { dropStalled: () => void } => ({
    dropStalled: () => {
      dropped.push(name)
      limiter.hold(-BUDGET_BYTES)
    }
  })
  assert.ok(limiter.takeBody(body('stalled'), BUDGET_BYTES))
  assert.not(limiter.takeBody(body('second'), 1))
  assert.equal(dropped, [])
  clock.advance(STALLED_MILLISECONDS)
  const third = body('third')
  assert.ok(limiter.takeBody(third, 1))
  assert.equal(dropped, ['stalled'])
  limiter.hold(BUDGET_BYTES)
  clock.advance(STALLED_MILLISECONDS)
  assert.not(limiter.takeBody(third, 1), 'a body does not give way to itself')
  assert.equal(dropped, ['stalled'])
  assert.equal([limiter.shed.body, limiter.shed.stalled_body], [2, 1])
})

// Guards against requests that stopped halfway, or whose responses are not read, and that hold all places.
test('stalled requests give way to connections that wait for a place', async () => {
  const { clock, limiter } = setUp(100, 20)
  const dropped: string[] = []
  const request = (name: string): { dropStalled: () => void } => ({
    dropStalled: () => {
      dropped.push(name)
      limiter.requestEnded(inWork.pop() as RequestInWork)
    }
  })
  const inWork = Array.from({ length: 20 }, () => limiter.requestBegun(new TestConnection()))
  const read = request('read on')
  limiter.awaitBody(request('body'))
  limiter.awaitReader(request('reader'))
  limiter.awaitReader(read)
  limiter.readerReady(read)
  clock.advance(6_000)
  await settled()
  assert.equal(dropped, [], 'nothing is dropped while nobody waits')
  const [first, second] = [new TestConnection(), new TestConnection()]
  assert.ok(limiter.mustWait(first, false))
  clock.advance(100)
  await settled()
  assert.equal([dropped, first.reads], [['body'], 1])
  limiter.requestBegun(first)
  assert.ok(limiter.mustWait(second, false))
  clock.advance(100)
  await settled()
  assert.equal([dropped, second.reads], [['body', 'reader'], 1])
})

// Guards against a log that grows with each refused connection.
test('at most one line a second is logged', () => {
  const { clock, limiter, reports } = setUp(0)
  for (let count = 0; count < 100; count += 1) limiter.admitConnection()
  assert.is(reports.length, 1)
  clock.advance(1_000)
  limiter.admitConnection()
  assert.is(reports.length, 2)
  assert.is(limiter.shed.connection, 101)
})

test.run()
