// Package suspect finds the prompt parts that crash engines, and keeps the list of
// parts whose requests are rejected for that.
//
// A part is suspected if requests with it were being answered, or waited for that, when
// their engine crashed, in several crashes, and if no other suspected part explains those
// crashes as well. A whole answer to any request, or one that goes on for long, clears its
// parts; a first token does not, since an engine may crash at any moment of an answer. A
// part of an answer that began earlier and goes on at another engine is no cause of a crash.
//
// What a Table has decided and counted passes to other routers, and to the processes after a kill of all, as a Record in
// the platform's store. Tables merge records in any order with the same result.
package suspect
