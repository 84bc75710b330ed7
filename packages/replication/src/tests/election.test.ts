import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { TestCluster } from './cluster.ts'

const THREE = ['alpha', 'beta', 'gamma']

for (const names of [['alpha'], THREE, [...THREE, 'delta', 'epsilon']]) {
  test(`a cluster of ${names.length} forms, elects one leader and answers`, async () => {
    const cluster = await TestCluster.formed(names)
    assert.is(cluster.leaders().length, 1)
    const answer = await cluster.propose('first')
    assert.is(Buffer.from(answer.unwrap()).toString(), '1')
    await cluster.advance(500)
    for (const name of names) assert.equal(cluster.commands(name), ['first'])
    await cluster.destroy()
  })
}

test.run()
