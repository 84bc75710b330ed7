import type { Route } from '@hickoryspoke/configuration/desired-state'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { bearerKey, KeyTable, keyDigest } from '../key-table.ts'
import { normaliseTarget } from '../path-normalisation.ts'
import { isIdempotent, RouteTable } from '../route-table.ts'

function route (pool: string, path: string, extra: Partial<Route> = {}): Route {
  return { pool, path, open: false, timeout_milliseconds: 1000, ...extra }
}

const TABLE = RouteTable.create([
  route('root', '/', { open: true }),
  route('withdrawals', '/withdrawals'),
  route('special', '/withdrawals/special'),
  route('reads', '/records', { methods: ['GET'] }),
  route('writes', '/records', { methods: ['POST', 'PUT'] }),
  route('tenant', '/withdrawals', { host: 'tenant.example' })
])

const CHOICES: readonly [target: string, method: string, host: string, pool: string | undefined][] = [
  ['/withdrawals', 'GET', 'a', 'withdrawals'],
  ['/withdrawals/7', 'GET', 'a', 'withdrawals'],
  ['/withdrawals7', 'GET', 'a', 'root'],
  ['/withdrawals/special/1', 'GET', 'a', 'special'],
  ['/withdrawals/speciality', 'GET', 'a', 'withdrawals'],
  ['/x/../withdrawals/7', 'GET', 'a', 'withdrawals'],
  ['/withdrawals/../x', 'GET', 'a', 'root'],
  ['/%77ithdrawals/7', 'GET', 'a', 'withdrawals'],
  ['/x/%2e%2e/withdrawals/7', 'GET', 'a', 'withdrawals'],
  ['/x/%2E./withdrawals/7', 'GET', 'a', 'withdrawals'],
  ['//withdrawals//7', 'GET', 'a', 'withdrawals'],
  ['/./withdrawals/./7', 'GET', 'a', 'withdrawals'],
  ['/../../withdrawals', 'GET', 'a', 'withdrawals'],
  ['/withdrawals;v=1/7', 'GET', 'a', 'withdrawals'],
  ['/withdrawals?x=/../y', 'GET', 'a', 'withdrawals'],
  ['/records/1', 'GET', 'a', 'reads'],
  ['/records/1', 'HEAD', 'a', 'reads'],
  ['/records/1', 'POST', 'a', 'writes'],
  ['/records/1', 'DELETE', 'a', undefined],
  ['/withdrawals/1', 'GET', 'TENANT.example:8080', 'tenant'],
  ['/withdrawals/1', 'GET', 'tenant.example.', 'tenant'],
  ['/withdrawals/special/1', 'GET', 'tenant.example', 'special'],
  ['/other', 'GET', 'tenant.example', 'root']
]

for (const [target, method, host, pool] of CHOICES) {
  test(`${method} ${target} at ${host} goes to ${pool ?? 'no pool'}`, () => {
    const { path } = normaliseTarget(target).unwrap()
    assert.is(TABLE.find({ path, method, host })?.pool, pool)
  })
}

const BAD_TARGETS = [
  '/a%2fb', '/a%2Fb', '/a%5cb', '/a\\b', '/a%00', '/a%', '/a%2', '/a%zz', '/a/..;/b', '/a/.;x/b', '*', 'http://evil/x', '', '/a b', '/a#b', '/\u00e9',
  '/x/%2e%2e;/withdrawals'
]

for (const target of BAD_TARGETS) {
  test(`the target ${JSON.stringify(target)} is refused`, () => {
    assert.ok(normaliseTarget(target).isErr())
  })
}

test('escapes that must be kept are normalised, and the query is left unchanged', () => {
  assert.equal(normaliseTarget('/a%3ab/%7euser/?q=%2e%2e/').unwrap(), { path: '/a%3Ab/~user/', query: '?q=%2e%2e/' })
  assert.is(normaliseTarget('/%252e%252e/x').unwrap().path, '/%252e%252e/x')
})

test('normalisation is idempotent', () => {
  for (const [target] of CHOICES) {
    const { path } = normaliseTarget(target).unwrap()
    assert.is(normaliseTarget(path).unwrap().path, path)
  }
})

test('the idempotent setting of a route takes precedence over the method', () => {
  assert.ok(isIdempotent(route('p', '/'), 'PUT'))
  assert.not(isIdempotent(route('p', '/'), 'POST'))
  assert.ok(isIdempotent(route('p', '/', { idempotent: true }), 'POST'))
  assert.not(isIdempotent(route('p', '/', { idempotent: false }), 'GET'))
})

test('the key table finds customers by digest and never contains a key', () => {
  const keys = KeyTable.create([{ customer: 'ministry', digest: keyDigest('secret-key') }])
  assert.is(keys.customerOf(keyDigest(bearerKey('bearer secret-key') ?? '')), 'ministry')
  assert.is(keys.customerOf(keyDigest('other')), undefined)
  assert.is(bearerKey('Basic secret-key'), undefined)
  assert.is(bearerKey('Bearer two words'), undefined)
  assert.not.match(JSON.stringify([...Object.entries(keys)]), /secret-key/)
})

test.run()
