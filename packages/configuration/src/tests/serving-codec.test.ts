import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { applyServingDifference, decodeServingConfiguration, encodeServingDifference, encodeServingConfiguration } from '../serving-codec.ts'
import type { ServingConfiguration, ServingRoute } from '../serving-configuration.ts'

function route (host: string, prefix: string, timeoutMilliseconds = 1_000): ServingRoute {
  return {
    name: `${host}${prefix}`,
    host,
    prefix,
    mayRepeat: true,
    timeoutMilliseconds,
    targetMilliseconds: 500,
    priority: 1,
    shares: [{ pool: 'ledger', weight: 1 }],
    maximumAttempts: 2,
    open: false
  }
}

function configuration (number: number, routes: readonly ServingRoute[]): ServingConfiguration {
  return {
    number,
    keyed: true,
    bounds: { maximumHeaderBytes: 1, maximumBodyBytes: 2, headerTimeoutMilliseconds: 3, idleTimeoutMilliseconds: 4 },
    pools: [{ name: 'ledger', healthPath: '/', maximumConnections: 5 }],
    customers: [{ name: 'ministry', keyDigests: ['sha256:1'], priority: undefined, rate: 1, burst: 2 }],
    routes
  }
}

const plain = (value: unknown): unknown => JSON.parse(JSON.stringify(value))

test('a full configuration survives encoding and decoding', () => {
  const whole = configuration(1, [route('a', '/'), route('b', '/x/')])
  assert.equal(plain(decodeServingConfiguration(encodeServingConfiguration(whole)).unwrap()), plain(whole))
})

test('a difference adds, changes and removes routes', () => {
  const from = configuration(1, [route('a', '/'), route('b', '/x/'), route('c', '/')])
  const to = configuration(2, [route('a', '/'), route('b', '/x/', 9_000), route('d', '/')])
  assert.equal(plain(applyServingDifference(from, encodeServingDifference(from, to)).unwrap()), plain(to))
})

test('the difference of one route is less than a tenth of the full configuration', () => {
  const many = Array.from({ length: 500 }, (_, index) => route(`host-${index}`, `/${index * 7919}/`))
  const from = configuration(1, many)
  const to = configuration(2, [...many.slice(1), route('host-0', '/0/', 9_000)])
  assert.ok(encodeServingDifference(from, to).length * 10 < encodeServingConfiguration(to).length)
})

test('decoding invalid bytes fails with update_unusable', () => {
  assert.is(decodeServingConfiguration(Buffer.from('?')).unwrapErr().code, 'update_unusable')
})

test.run()
