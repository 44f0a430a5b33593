package service_test

import (
	"net/http"
	"testing"

	"trefoilferry.example/ferry/pkg/service"
	"trefoilferry.example/ferry/pkg/standin/repeater"
)

// Guards against a caller that gets the response to another call, because the service writes that once more on a connection
// in use again.
func TestCopyOfAnEarlierResponseIsNotTheAnswer(t *testing.T) {
	s, err := repeater.Start(repeater.Response(http.StatusOK, "one"), repeater.Response(http.StatusOK, "two"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	client := service.NewClient("http://"+s.Addr(), nil)
	for _, want := range []string{"one", "two"} {
		if _, body, err := call(client, http.MethodPost); err != nil || string(body) != want {
			t.Errorf("response %q, %v, want %q", body, err, want)
		}
	}
}
