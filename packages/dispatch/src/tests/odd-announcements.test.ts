/** Lists of upstreams from another writer, with one element that cannot be right or read. */
import { BinaryWriter } from '@bufbuild/protobuf/wire'
import { AnnouncedUpstream, DispatchMessage } from '@hickoryspoke/protocol/generated/dispatch'
import { Logger } from '@hickoryspoke/telemetry/logger'
import { FakeClock } from '@hickoryspoke/testing/fake-clock'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { UpstreamRegistry } from '../upstream-registry.ts'
import { announcement } from './fixture.ts'

const SOUND = ['a', 'b', 'c'].map((instance, index) => announcement({ instance, address: `10.0.0.1:${8_000 + index}` }))
const BORN_FIELD = 8
const SEQUENCE_FIELD = 9
const UPSTREAMS_FIELD = 2
const UPSTREAMS_CASE = 5
const LENGTH_DELIMITED = 2

const tagOf = (field: number, wireType: number): number => field * 8 + wireType

function encoded (changes: Partial<AnnouncedUpstream>): Uint8Array {
  return AnnouncedUpstream.encode(announcement({ instance: 'odd', address: '10.0.0.1:9000', ...changes })).finish()
}

/** A sound announcement followed by one more field, which takes precedence. */
function withNumber (field: number, value: string): Uint8Array {
  return Buffer.concat([encoded({}), new BinaryWriter().uint32(tagOf(field, 0)).uint64(value).finish()])
}

/** Elements that name no upstream to use. */
const ODD_ELEMENTS: Readonly<Record<string, Uint8Array>> = {
  'a start time that no number holds': withNumber(BORN_FIELD, '18446744073709551615'),
  'a sequence number that no number holds': withNumber(SEQUENCE_FIELD, '9007199254740992'),
  'a start time in microseconds': encoded({ born: 1_796_000_000_000_000 }),
  'a port out of range': encoded({ address: '10.0.0.1:99999' }),
  'port 0': encoded({ address: '10.0.0.1:0' }),
  'an octet out of range': encoded({ address: '10.0.0.256:80' }),
  'no address': encoded({ address: '' }),
  'no instance': encoded({ instance: '' }),
  'an instance with a line break': encoded({ instance: 'i-1\r\nX-Tenant: other' }),
  'an instance of a million characters': encoded({ instance: 'i'.repeat(1_000_000) }),
  'no pool': encoded({ pool: '' }),
  'no slots': encoded({ slots: 0 }),
  'four billion slots': encoded({ slots: 4_000_000_000 }),
  'a warm-up of weeks': encoded({ warmupMilliseconds: 4_000_000_000 }),
  'bytes that end too early': encoded({}).subarray(0, 9),
  'bytes of no message': Buffer.from('ffffffffffffffffffffffff', 'hex'),
  'groups within groups': Buffer.alloc(100_000, tagOf(20, 3))
}

/** The bytes of a message that lists these elements. */
function messageOf (elements: readonly Uint8Array[]): Uint8Array {
  const update = new BinaryWriter()
  for (const element of elements) update.uint32(tagOf(UPSTREAMS_FIELD, LENGTH_DELIMITED)).bytes(element)
  return new BinaryWriter().uint32(tagOf(UPSTREAMS_CASE, LENGTH_DELIMITED)).bytes(update.finish()).finish()
}

function read (registry: UpstreamRegistry, bytes: Uint8Array): void {
  const { body } = DispatchMessage.decode(bytes)
  if (body?.$case === 'upstreams') registry.mergeEncoded(body.value.upstreams)
}

// Guards against a reader of the list that fails at one odd element, so that its stream ends or it uses what cannot be right (LOST).
for (const [name, element] of Object.entries(ODD_ELEMENTS)) {
  test(`an element with ${name} is passed over, and the others hold`, () => {
    const registry = UpstreamRegistry.create(FakeClock.create())
    const [first, ...others] = SOUND.map((upstream) => AnnouncedUpstream.encode(upstream).finish())
    read(registry, messageOf([first as Uint8Array, element, ...others]))
    assert.equal(registry.present().map(({ announced }) => announced), SOUND)
  })
}

// Guards against departures that no reader can decode, since their number is one beyond the greatest safe one (LOST).
test('an upstream that leaves after the greatest sequence number can be listed', () => {
  const leader = UpstreamRegistry.create(FakeClock.create())
  leader.announce(announcement({ instance: 'odd', address: '10.0.0.1:9000', sequence: Number.MAX_SAFE_INTEGER }))
  leader.leave('odd', undefined)
  leader.merge(SOUND)
  const follower = UpstreamRegistry.create(FakeClock.create())
  read(follower, messageOf(leader.announcements().map((upstream) => AnnouncedUpstream.encode(upstream).finish())))
  assert.equal(follower.present().map(({ announced }) => announced), SOUND)
})

// Guards against a log that fills up because an odd announcement is repeated.
test('odd announcements are logged in few and short lines', () => {
  const lines: string[] = []
  const clock = FakeClock.create()
  const registry = UpstreamRegistry.create(clock, Logger.create('test', 'debug', (line) => lines.push(line)))
  for (let second = 0; second < 25; second += 1) {
    for (const element of Object.values(ODD_ELEMENTS)) read(registry, messageOf([element]))
    registry.announce(announcement({ instance: 'i'.repeat(1_000_000) }))
    clock.advance(1_000)
  }
  assert.is(lines.length, 3)
  assert.ok(lines.every((line) => line.length < 1_000))
})

// Guards against an upstream that is kept out because another writer announced its address with a start time in the future.
test('an odd start time that is possible holds an address only until its writer is silent', () => {
  const clock = FakeClock.create()
  const registry = UpstreamRegistry.create(clock)
  const sound = announcement({ instance: 'sound', address: '10.0.0.1:80', born: 1_000 })
  registry.announce(announcement({ instance: 'odd', address: '10.0.0.1:80', born: 2 ** 41 }))
  assert.is(registry.announce(sound), false)
  clock.advance(10_000)
  registry.expire(5_000, () => true)
  assert.is(registry.announce(sound), true)
  assert.equal(registry.present().map(({ announced }) => announced.instance), ['sound'])
})

test('the departure of an upstream with an odd name is passed over', () => {
  const registry = UpstreamRegistry.create(FakeClock.create())
  registry.leave('i-1\r\nX-Tenant: other', undefined)
  registry.leave('i-1', 2 ** 53)
  assert.equal(registry.all(), [])
})

test.run()
